#pragma once

#include <algorithm>

namespace Query {

/// Token bucket for the hedges and retries of one traffic class. Each first attempt adds a fraction of a
/// token, each extra attempt takes one, so extra attempts stay within that fraction of the first attempts.
class ExtraLoadBudget
{
public:
    /// `maxTokens` limits the burst after light traffic, so that a fault that slows every server does not
    /// cause a flood of hedges; `tokens` is the initial number of tokens.
    explicit ExtraLoadBudget(double maxTokens = 50.0, double tokens = 0.0)
        : maxTokens_(maxTokens)
        , tokens_(tokens)
    {
    }

    /// Changes the capacity; tokens above it are lost.
    void setMaxTokens(double maxTokens)
    {
        maxTokens_ = maxTokens;
        tokens_ = std::min(tokens_, maxTokens_);
    }

    /// Adds the fraction of a token for one first attempt.
    void earn(double fraction) { tokens_ = std::min(tokens_ + fraction, maxTokens_); }

    bool available() const { return tokens_ >= 1.0 - RoundingSlack; }

    /// Takes the token for one extra attempt; returns false when there is none.
    bool take()
    {
        if (!available())
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    /// Absorbs floating-point error: fifty additions of 0.02 must make a whole token.
    static constexpr double RoundingSlack = 1e-6;

    double maxTokens_;
    double tokens_;
};

} // namespace Query
