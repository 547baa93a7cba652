#include "LibRegistry/FounderSearch.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Base::seconds;
using Registry::FounderSearch;

constexpr Base::Duration Patience = seconds(4);

Wire::JoinRequest request(const std::string &node, std::uint64_t incarnation, bool hasDisk)
{
    return {node, incarnation, node, false, hasDisk, hasDisk};
}

/// Returns when the search ends without a disk, if it does so within `time`.
std::optional<Base::Duration> foundsHereWithin(FounderSearch &search, Base::Instant &now, Base::Duration time)
{
    const auto start = now;
    for (; now - start < time; now += milliseconds(30)) {
        if (search.mustFoundHere(now))
            return now - start;
    }
    return std::nullopt;
}

} // namespace

// Two founders would be two clusters with different configurations.
TEST(FounderSearch, AppointsOneRegistryWithADisk)
{
    FounderSearch search({"b", "c"}, false, Patience);
    EXPECT_FALSE(search.appoints(request("b", 1, false)));
    EXPECT_TRUE(search.founderAddress().empty());
    EXPECT_TRUE(search.appoints(request("c", 1, true)));
    EXPECT_FALSE(search.appoints(request("d", 1, true)));
    EXPECT_TRUE(search.appoints(request("c", 1, true))) << "its answer may have been lost";
    EXPECT_FALSE(search.appoints(request("c", 2, true))) << "its cluster may exist already";
    EXPECT_EQ(search.founderAddress(), "c");
    Base::Instant now {};
    EXPECT_FALSE(foundsHereWithin(search, now, seconds(60)));
}

TEST(FounderSearch, FoundsWithoutADiskOnceAllSeedsCameAndNoDisk)
{
    FounderSearch search({"b", "c"}, false, Patience);
    Base::Instant now {};
    search.appoints(request("b", 1, false));
    EXPECT_FALSE(foundsHereWithin(search, now, seconds(60))) << "the third seed may have a disk";
    search.appoints(request("c", 1, false));
    EXPECT_TRUE(foundsHereWithin(search, now, seconds(1)));
    EXPECT_FALSE(search.appoints(request("d", 1, true)));
}

TEST(FounderSearch, WaitsForRegistriesThatTheSettingsDoNotName)
{
    FounderSearch search({}, false, Patience);
    Base::Instant now {};
    EXPECT_FALSE(foundsHereWithin(search, now, Patience - seconds(1)));
    now += seconds(30);
    EXPECT_GE(foundsHereWithin(search, now, seconds(60)), Patience) << "a frozen process has heard nobody";
    FounderSearch smallDeployment({}, true, Patience);
    EXPECT_EQ(foundsHereWithin(smallDeployment, now, seconds(1)), Base::Duration::zero());
}
