#pragma once

#include <algorithm>

namespace Query {

/// How often the hedges of one traffic class answered first, as a moving average.
class HedgeBenefit
{
public:
    void record(bool won) { winRate_ += Weight * ((won ? 1.0 : 0.0) - winRate_); }

    /// Returns the part of the budget that hedges should aim to spend.
    double spending() const { return std::clamp(winRate_ / SufficientWinRate, MinSpending, 1.0); }

private:
    /// About the last fifty hedges decide.
    static constexpr double Weight = 0.02;
    /// A lower win rate shows that most hedges concern attempts that are about to be answered.
    static constexpr double SufficientWinRate = 0.4;
    /// Enough hedges to notice that stragglers have appeared.
    static constexpr double MinSpending = 0.2;

    double winRate_ = SufficientWinRate;
};

} // namespace Query
