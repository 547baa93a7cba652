#include "LibBase/Log.h"

#include <gtest/gtest.h>

// A value with spaces or line breaks must not be readable as further fields or lines.
TEST(Log, QuotesValuesThatWouldBreakTheLine)
{
    const auto line = Base::formatLogLine(Base::LogLevel::Info, "entry", "Refused a request.",
                                          {{"reason", "a b\n"}, {"count", 3}});
    EXPECT_EQ(line, "info entry: Refused a request. reason=\"a b\\x0a\" count=3");
}
