#include "LibQuery/SessionModel.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

// Guards against answers that mix versions or requests, wrong coverage, requests reported as not run
// although they may have run, second runs of non-idempotent requests and extra load beyond the budget,
// under any order of replies, losses and faults.
RC_GTEST_PROP(QueryCore, PreservesInvariantsUnderRandomEvents, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto replicas = *rc::gen::inRange<std::uint32_t>(1, 4);
    const auto words = *rc::gen::scale(
        4.0, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 20U)));
    SessionModel model(seed, replicas);
    for (const auto word : words)
        model.step(word);
    model.finish();
    RC_ASSERT(model.violations() == std::vector<std::string>());
    RC_CLASSIFY(model.statistics().hedges > 0, "hedges");
    RC_CLASSIFY(model.statistics().retries > 0, "retries");
    RC_CLASSIFY(model.statistics().freeRetries > 0, "free retries");
    RC_CLASSIFY(model.statistics().replans > 0, "re-plans");
    RC_CLASSIFY(model.statistics().partialAnswers > 0, "partial answers");
}
