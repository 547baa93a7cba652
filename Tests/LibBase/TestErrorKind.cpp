#include "LibBase/ErrorKind.h"

#include <gtest/gtest.h>
#include <set>

// A kind without its own table row would give callers a wrong statement about whether their request was run.
TEST(ErrorKind, EveryKindHasItsOwnAnswer)
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < static_cast<std::size_t>(Base::ErrorKind::Count); ++index) {
        const auto &answer = Base::errorAnswer(static_cast<Base::ErrorKind>(index));
        EXPECT_FALSE(answer.name.empty());
        EXPECT_GE(answer.httpStatus, 400);
        EXPECT_TRUE(names.insert(answer.name).second) << answer.name;
    }
}
