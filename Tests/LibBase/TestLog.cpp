#include "LibBase/Log.h"

#include <gtest/gtest.h>

// A value with spaces or line breaks must not be readable as further fields or lines.
TEST(Log, QuotesValuesThatWouldBreakTheLine)
{
    const auto line = Base::formatLogLine(Base::LogLevel::Info, "entry", "Refused a request.",
                                          {{"reason", "a b\n"}, {"count", 3}});
    EXPECT_EQ(line, "info entry: Refused a request. reason=\"a b\\x0a\" count=3");
}

// A refused configuration wrote one line of 60 MB, and the process answered nobody until it was out.
TEST(Log, CutsLongValues)
{
    std::string line;
    Base::appendLogField(line, {"detail", std::string(1'000'000, 'x')});
    EXPECT_LT(line.size(), Base::MaxLogValueBytes + 100);
    EXPECT_TRUE(line.ends_with("x detail_bytes=1000000"));
}
