#pragma once

#include <algorithm>

namespace Query {

/// Moving average of how often the hedges of one traffic class reply first.
class HedgeWinRate
{
public:
    void record(bool won) { winRate_ += SmoothingFactor * ((won ? 1.0 : 0.0) - winRate_); }

    /// Returns the fraction of the extra-load budget that hedges should aim to use.
    double budgetFraction() const { return std::clamp(winRate_ / SufficientWinRate, MinBudgetFraction, 1.0); }

private:
    /// Averages over about the last 50 hedges.
    static constexpr double SmoothingFactor = 0.02;
    /// Below this win rate, most hedges duplicate attempts that are about to be answered.
    static constexpr double SufficientWinRate = 0.4;
    /// Keeps enough hedges to detect new stragglers.
    static constexpr double MinBudgetFraction = 0.2;

    double winRate_ = SufficientWinRate;
};

} // namespace Query
