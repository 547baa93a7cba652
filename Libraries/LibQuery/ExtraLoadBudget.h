#pragma once

#include <algorithm>

namespace Query {

/// Allowance of one traffic class for hedges and retries. The attempts taken never exceed the given fraction
/// of the first attempts earned.
class ExtraLoadBudget
{
public:
    /// `maxTokens` bounds the burst after a quiet period, so that a fault that slows every server is not
    /// answered by a flood of hedges; `tokens` is the allowance at the start.
    explicit ExtraLoadBudget(double maxTokens = 50.0, double tokens = 0.0)
        : maxTokens_(maxTokens)
        , tokens_(tokens)
    {
    }

    /// Changes the bound; an allowance above it is lost.
    void setMaxTokens(double maxTokens)
    {
        maxTokens_ = maxTokens;
        tokens_ = std::min(tokens_, maxTokens_);
    }

    /// Adds the allowance that one first attempt brings.
    void earn(double fraction) { tokens_ = std::min(tokens_ + fraction, maxTokens_); }

    bool available() const { return tokens_ >= 1.0 - RoundingSlack; }

    /// Takes one extra attempt; returns false when the allowance is used up.
    bool take()
    {
        if (!available())
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    /// Fifty additions of 0.02 must make a whole token.
    static constexpr double RoundingSlack = 1e-6;

    double maxTokens_;
    double tokens_;
};

} // namespace Query
