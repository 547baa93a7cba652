#include "LibForward/AnswerLag.h"

#include <gtest/gtest.h>

using Base::milliseconds;

// Guards against answers that are late by a constant lag: on a tenth of a core, answers sent at the cutoff
// reached callers 3 ms after the target, all day (csf-waxroute-grown).
TEST(AnswerLag, RisesQuicklyAndFallsSlowly)
{
    Forward::AnswerLag lag;
    const Base::Instant due {milliseconds(1000)};
    EXPECT_EQ(lag.allowance(), Base::Duration::zero());
    for (int i = 0; i < 10; ++i)
        lag.record(due, due + milliseconds(6));
    EXPECT_GT(lag.allowance(), milliseconds(8));
    EXPECT_LE(lag.allowance(), milliseconds(9));
    lag.record(due, due);
    EXPECT_GT(lag.allowance(), milliseconds(7));
    for (int i = 0; i < 300; ++i)
        lag.record(due, due);
    EXPECT_LT(lag.allowance(), milliseconds(1));
}

// A gather that had to wait for its minimum coverage is late for another reason than timer lag.
TEST(AnswerLag, IgnoresAnswersThatWereLateForAnotherReason)
{
    Forward::AnswerLag lag;
    const Base::Instant due {milliseconds(1000)};
    lag.record(due, due + milliseconds(300));
    lag.record(due, due - milliseconds(5));
    EXPECT_EQ(lag.allowance(), Base::Duration::zero());
}
