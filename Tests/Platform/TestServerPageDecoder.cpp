#include "platform/PlatformProtocol.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/resource.h>

namespace {

const Platform::PlatformProtocol Protocol;

std::string entry(const std::string &id, const std::string &changedKey = {}, const std::string &value = {})
{
    std::string text = "{";
    const std::pair<const char *, std::string> fields[] {
        {"service", "\"s\""},
        {"address", "\"10.0.0.1:80\""},
        {"zone", "\"z\""},
        {"version", "\"v1\""},
        {"slots", "2"},
        {"state", "\"ready\""},
        {"warmupLeftMs", "120"},
        {"id", "\"" + id + "\""},
        {"born", "1700000000000"},
    };
    for (const auto &[key, usual] : fields)
        text +=
            fmt::format("{}\"{}\":{}", text.size() > 1 ? "," : "", key, key == changedKey ? value : usual);
    return text + "}";
}

std::string page(const std::string &entries)
{
    return R"({"instances":[)" + entries + R"(],"nextPageToken":"p-50"})";
}

/// Peak memory of this process in kilobytes.
long peakMemoryKb()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

/// Expects that the page beside a foreign entry names just the servers "before" and "after".
void expectNeighboursOf(const std::string &foreign)
{
    const auto decoded =
        Protocol.decodeServerPage(page(entry("before") + "," + foreign + "," + entry("after")));
    ASSERT_TRUE(decoded.has_value()) << foreign.substr(0, 200);
    ASSERT_EQ(decoded->servers.size(), 2U) << foreign.substr(0, 200);
    EXPECT_EQ(decoded->servers[0].id, "before");
    EXPECT_EQ(decoded->servers[1].id, "after");
    EXPECT_EQ(decoded->nextPage, "p-50");
}

} // namespace

// An entry of megabytes of brackets took about 80 bytes of memory for each; a registry that read it was
// killed again and again, as the entry stayed in the list.
TEST(ServerPageDecoder, DeeplyNestedEntryTakesNoMemory)
{
    constexpr std::size_t Depth = 3'500'000;
    constexpr long AllowedKb = 65'536; // The page has 7 MB and is copied a few times here.
    const auto nested = R"({"id":"x","a":)" + std::string(Depth, '[') + std::string(Depth, ']') + "}";
    // A flat entry of the same size first: sanitizers multiply the memory of either in the same way.
    expectNeighboursOf(entry(std::string(nested.size(), 'x')));
    const auto before = peakMemoryKb();
    expectNeighboursOf(nested);
    EXPECT_LT(peakMemoryKb() - before, AllowedKb);
}

// A flat entry may have as many values as a nested one has levels, and each of them takes memory.
TEST(ServerPageDecoder, EntryWithVeryManyValuesIsUnreadable)
{
    constexpr long AllowedKb = 65'536;
    std::string values = "[{}";
    while (values.size() < 7'000'000)
        values += ",{}";
    const auto wide = R"({"id":"x","a":)" + values + "]}";
    expectNeighboursOf(entry(std::string(wide.size(), 'x')));
    const auto before = peakMemoryKb();
    expectNeighboursOf(wide);
    EXPECT_LT(peakMemoryKb() - before, AllowedKb);
    const auto longToken = R"({"instances":[],"nextPageToken":")" + std::string(100'000, 'x') + "\"}";
    EXPECT_FALSE(Protocol.decodeServerPage(longToken).has_value());
}

// One damaged byte in an entry of another writer hid the whole list: quotes and brackets were counted over
// the page. None of its bytes, whatever they become, may move the bounds of its neighbours.
TEST(ServerPageDecoder, DamagedByteLeavesTheNeighbours)
{
    const auto whole = entry("x");
    const std::string replacements("\"\\{}[]:,\xfe\x00 1e-\n", 15);
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (const char replacement : replacements) {
            auto damaged = whole;
            damaged[at] = replacement;
            const auto decoded =
                Protocol.decodeServerPage(page(entry("a") + "," + damaged + "," + entry("b")));
            ASSERT_TRUE(decoded.has_value()) << damaged;
            ASSERT_GE(decoded->servers.size(), 2U) << damaged;
            EXPECT_EQ(decoded->servers.front().id, "a") << damaged;
            EXPECT_EQ(decoded->servers.back().id, "b") << damaged;
            EXPECT_EQ(decoded->nextPage, "p-50") << damaged;
        }
    }
}

// One byte too many in an entry hid those behind it: with a bracket in front, the entry reached to the end of
// the list, and a server that drained there got requests until it ended.
TEST(ServerPageDecoder, ByteTooManyLeavesTheNeighbours)
{
    const auto whole = entry("x");
    const std::string additions("\"\\{}[]:,\xfe\x00 1e-\n", 15);
    for (std::size_t at = 0; at <= whole.size(); ++at) {
        for (const char addition : additions) {
            auto damaged = whole;
            damaged.insert(at, 1, addition);
            // In front, between others, and last.
            for (const auto &entries : {damaged + "," + entry("a") + "," + entry("b"),
                                        entry("a") + "," + damaged + "," + entry("b"),
                                        entry("a") + "," + entry("b") + "," + damaged}) {
                const auto decoded = Protocol.decodeServerPage(page(entries));
                ASSERT_TRUE(decoded.has_value()) << entries;
                EXPECT_EQ(
                    std::count_if(decoded->servers.begin(), decoded->servers.end(),
                                  [](const auto &server) { return server.id == "a" || server.id == "b"; }),
                    2)
                    << entries;
                EXPECT_EQ(decoded->nextPage, "p-50") << entries;
            }
        }
    }
}

// The same for an entry that ends anywhere, for one of binary bytes, and for lists, texts and numbers in its
// place.
TEST(ServerPageDecoder, CutOrForeignElementLeavesTheNeighbours)
{
    const auto whole = entry("x");
    for (std::size_t size = 1; size < whole.size(); ++size)
        expectNeighboursOf(whole.substr(0, size));
    for (const std::string foreign : {"\x9d\"\xfe\x03\xc1",
                                      "[1,{\"a\":2}]",
                                      "\"text, with ] and }\"",
                                      "17",
                                      "-1.5e3",
                                      "null",
                                      "true",
                                      "{}",
                                      "[]",
                                      "}",
                                      "]]",
                                      "{\"x\":[1",
                                      "{\"x\":[1,{",
                                      "{\"x\":{\"y\":[",
                                      "{\"x\":\"",
                                      "\"",
                                      "{{{{",
                                      "[[[[",
                                      "{\"nextPageToken\":\"other\"}",
                                      "{\"nextPageToken\":\"other\",\xff}",
                                      ",,,",
                                      "],\"x\":1}"})
        expectNeighboursOf(foreign);
}

// Several damaged entries, also at both ends of the list.
TEST(ServerPageDecoder, DamagedEntriesAtTheEndsLeaveTheOthers)
{
    const std::string damaged = "{\"service\":\"s\xfe,\"x\":[}";
    const auto decoded = Protocol.decodeServerPage(
        page(damaged + "," + entry("a") + "," + damaged + "," + entry("b") + "," + damaged));
    ASSERT_TRUE(decoded.has_value());
    ASSERT_EQ(decoded->servers.size(), 2U);
    EXPECT_EQ(decoded->unreadable, 3U);
    EXPECT_TRUE(decoded->firstUnreadable.starts_with("{\"service\""));
    EXPECT_EQ(decoded->nextPage, "p-50");
}

// Damaged bytes with many opening brackets must not be scanned again from each of them.
TEST(ServerPageDecoder, DamagedBytesTakeNoQuadraticTime)
{
    // A scan to the end from each brace takes billions of steps, a linear one some millions.
    constexpr std::size_t DamagedBytes = 400'000;
    for (const std::string piece :
         {"{\"a\":", "{\"a\":[", "{},{\"a\":[", "{\"", "[{", "{\"a\":\"b\",", "[],"}) {
        std::string damaged;
        while (damaged.size() < DamagedBytes)
            damaged += piece;
        const auto startedAt = std::chrono::steady_clock::now();
        const auto decoded =
            Protocol.decodeServerPage(page(entry("a") + "," + damaged + "\xff," + entry("b")));
        EXPECT_LT(std::chrono::steady_clock::now() - startedAt, std::chrono::seconds(20)) << piece;
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded->servers.back().id, "b") << piece;
    }
}

// Numbers beyond their range were cut to another value: slots of 2^32 to none, a start beyond 2^63 to one
// before 1970.
TEST(ServerPageDecoder, NumbersOutOfRangeNameNoServer)
{
    for (const char *slots :
         {"0", "-1", "4294967296", "4294967298", "1e9", "1e400", "18446744073709551615", "2.5"})
        expectNeighboursOf(entry("x", "slots", slots));
    for (const char *born : {"-1", "9223372036854775808", "18446744073709551615", "1e30", "0.5"})
        expectNeighboursOf(entry("x", "born", born));
    for (const char *warmUp : {"-1", "1e400", "\"5\""})
        expectNeighboursOf(entry("x", "warmupLeftMs", warmUp));
    for (const char *address :
         {"\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1\"", "\"10.0.0.256:80\""})
        expectNeighboursOf(entry("x", "address", address));
}

// The id goes into a header of each request: a line break in it would add headers, or a second request.
TEST(ServerPageDecoder, TextsThatDoNotFitAHeaderNameNoServer)
{
    for (const char *id : {"i\\r\\nX-Other: 1", "i\\u0000", "i\\u007f", "i\\t"})
        expectNeighboursOf(entry(id));
    expectNeighboursOf(entry(std::string(2000, 'i')));
}

// The same in a configuration that an operator sends.
TEST(ConfigurationDecoder, RefusesDeeplyNestedConfiguration)
{
    constexpr std::size_t Depth = 1'500'000;
    constexpr long AllowedKb = 32'768;
    const auto nested = R"({"version":7,"services":[],"limits":)" + std::string(Depth, '[')
                        + std::string(Depth, ']') + R"(,"routes":[]})";
    const auto flat =
        R"({"version":7,"services":[],"limits":")" + std::string(2 * Depth, 'x') + R"(","routes":[]})";
    EXPECT_FALSE(Protocol.decodeConfiguration(flat, nullptr).has_value());
    const auto before = peakMemoryKb();
    const auto decoded = Protocol.decodeConfiguration(nested, nullptr);
    ASSERT_FALSE(decoded.has_value());
    EXPECT_EQ(decoded.error().kind, Base::ErrorKind::InvalidRequest);
    EXPECT_LT(peakMemoryKb() - before, AllowedKb);
}
