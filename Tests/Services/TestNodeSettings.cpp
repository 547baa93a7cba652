#include "Services/Common/NodeSettings.h"

#include <gtest/gtest.h>

// Callers are sent to the gateways with a large share of a processor, so a gateway that does not tell its own
// makes all of them look alike.
TEST(NodeSettings, GatewayTellsItsShareOfAProcessor)
{
    Services::NodeSettings settings;
    settings.nodeId = "vm-1";
    settings.dataCentre = "dc-a";
    settings.callerAddress = "10.0.0.1:80";
    settings.processorShare = 0.12;
    const auto record = settings.gatewayRecord(7, Wire::GatewayState::Serving);
    EXPECT_EQ(record.gatewayId, "vm-1");
    EXPECT_EQ(record.dataCentre, "dc-a");
    EXPECT_EQ(record.callerAddress, "10.0.0.1:80");
    EXPECT_EQ(record.incarnation, 7U);
    EXPECT_EQ(record.state, Wire::GatewayState::Serving);
    EXPECT_DOUBLE_EQ(record.processorShare, 0.12);
}

// The platform fills in an empty text where a deployment has no such bound.
TEST(NodeSettings, BoundsThatThePlatformLeavesEmptyAreUnset)
{
    const std::string required = "node = \"vm-1\"\ndata_centre = \"dc-a\"\nip = \"10.0.0.1\"\n"
                                 "first_peer_port = 7000\ncluster_key = \"k\"\n";
    const auto unset = Services::parseNodeSettings(
        required + "key_removal_is_bounded = \"\"\nkey_removal_bound_ms = \"\"\nallowance_slack = \"\"\n");
    ASSERT_TRUE(unset) << unset.error().detail;
    EXPECT_EQ(unset->keyRemovalBound, Base::Duration::zero());
    EXPECT_EQ(unset->allowanceSlack, 0.0);
    EXPECT_EQ(unset->coldOverage, 1.0);

    const auto set = Services::parseNodeSettings(
        required
        + "key_removal_is_bounded = \"true\"\nkey_removal_bound_ms = \"5000\"\nallowance_slack = \"20\"\n");
    ASSERT_TRUE(set) << set.error().detail;
    EXPECT_EQ(set->keyRemovalBound, Base::seconds(5));
    EXPECT_EQ(set->allowanceSlack, 20.0);
    EXPECT_FALSE(Services::parseNodeSettings(required + "allowance_slack = \"many\"\n"));
    EXPECT_FALSE(Services::parseNodeSettings(required + "key_removal_is_bounded = \"perhaps\"\n"));
}

// A bound that is asked for and not stated, or stated as 0, was taken for none: removed keys were served for
// as long as a gateway was out of touch.
TEST(NodeSettings, BoundThatIsAskedForMustBeStated)
{
    const std::string required = "node = \"vm-1\"\ndata_centre = \"dc-a\"\nip = \"10.0.0.1\"\n"
                                 "first_peer_port = 7000\ncluster_key = \"k\"\n";
    for (const char *bound : {"", "key_removal_bound_ms = \"\"\n", "key_removal_bound_ms = \"0\"\n"}) {
        const auto bounded =
            Services::parseNodeSettings(required + "key_removal_is_bounded = \"true\"\n" + bound);
        ASSERT_FALSE(bounded) << bound;
        EXPECT_NE(bounded.error().detail.find("key_removal_bound_ms"), std::string::npos);
        for (const char *flag : {"", "key_removal_is_bounded = \"false\"\n"})
            EXPECT_TRUE(Services::parseNodeSettings(required + flag + bound)) << flag << bound;
    }
}

// A registry whose tolerances and times hold until its next restart keeps a bound that the deployment has
// given up.
TEST(NodeSettings, RegistryTakesOverWhatMayChangeWhileItRuns)
{
    Services::NodeSettings held;
    held.nodeId = "vm-1";
    held.registryPort = 7000;
    held.dataDirectory = "/data";
    Services::NodeSettings newer;
    newer.nodeId = "vm-2";
    newer.registryPort = 8000;
    newer.dataDirectory = "/other";
    newer.firstStart = true;
    newer.seeds = {"10.0.0.1:80"};
    newer.lostVmsTolerated = 2;
    newer.catchUpTime = Base::seconds(9);
    newer.shutdownGrace = Base::seconds(8);
    newer.allowanceWindow = Base::seconds(7);
    newer.allowanceOverage = 0.3;
    newer.allowanceSlack = 20.0;
    newer.coldOverage = 1.5;
    newer.coldSlack = 4.0;
    held.takeOverForRegistry(newer);
    EXPECT_EQ(held.seeds, newer.seeds);
    EXPECT_EQ(held.lostVmsTolerated, 2U);
    EXPECT_EQ(held.catchUpTime, Base::seconds(9));
    EXPECT_EQ(held.shutdownGrace, Base::seconds(8));
    EXPECT_EQ(held.allowanceWindow, Base::seconds(7));
    EXPECT_EQ(held.allowanceOverage, 0.3);
    EXPECT_EQ(held.allowanceSlack, 20.0);
    EXPECT_EQ(held.coldOverage, 1.5);
    EXPECT_EQ(held.coldSlack, 4.0);
    EXPECT_EQ(held.nodeId, "vm-1");
    EXPECT_EQ(held.registryPort, 7000U);
    EXPECT_EQ(held.dataDirectory, "/data");
    EXPECT_FALSE(held.firstStart); // Another cluster must not be founded.
}

// Deployments that do not ask for it are served as before.
TEST(NodeSettings, CallersAreSharedByLoadOnlyOnRequest)
{
    const std::string required = "node = \"vm-1\"\ndata_centre = \"dc-a\"\nip = \"10.0.0.1\"\n"
                                 "first_peer_port = 7000\ncluster_key = \"k\"\n";
    const auto unset = Services::parseNodeSettings(required);
    ASSERT_TRUE(unset) << unset.error().detail;
    EXPECT_FALSE(unset->shareCallersByLoad);
    EXPECT_EQ(unset->gatewayRecord(1, Wire::GatewayState::Serving).callerShare, Wire::FullCallerShare);
    const auto set = Services::parseNodeSettings(required + "share_callers_by_load = true\n");
    ASSERT_TRUE(set) << set.error().detail;
    EXPECT_TRUE(set->shareCallersByLoad);
}
