#include "LibControl/LeaseTable.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;

constexpr Base::Instant Start = Base::Instant(Base::seconds(100));

} // namespace

// A new leader that expired an entry process early would free shares that its predecessor's renewal still
// covers.
TEST(LeaseTable, LeaseAfterElectionLastsLeaseAndMargin)
{
    Control::LeaseTable leases(Base::seconds(3));
    leases.grantAfterElection(Start, "e1", 1);
    EXPECT_TRUE(leases.isLive(Start + milliseconds(3349), "e1"));
    EXPECT_TRUE(leases.expired(Start + milliseconds(3349)).empty());
    EXPECT_FALSE(leases.isLive(Start + milliseconds(3350), "e1"));
    EXPECT_EQ(leases.expired(Start + milliseconds(3350)), std::vector<std::string> {"e1"});
}

// A renewal between the proposal and the commit of the removal would grant a lease without shares.
TEST(LeaseTable, RefusesRenewalDuringRemoval)
{
    Control::LeaseTable leases(Base::seconds(3));
    EXPECT_TRUE(leases.renew(Start, "e1", 1));
    EXPECT_FALSE(leases.renew(Start, "e1", 2));
    leases.beginRemoval("e1");
    EXPECT_FALSE(leases.renew(Start, "e1", 1));
    EXPECT_TRUE(leases.expired(Start + Base::seconds(60)).empty());
    leases.remove("e1");
    EXPECT_TRUE(leases.renew(Start, "e1", 2));
}
