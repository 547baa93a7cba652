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
