#include "Soak/Cluster.h"

#include <csignal>
#include <gtest/gtest.h>

// Ends of faults are scheduled ahead and reach VMs that have lost their disk and their process meanwhile.
TEST(SoakCluster, SignalsToAVmWithoutAProcessAreIgnored)
{
    Soak::Cluster cluster("127.64.1.", ::testing::TempDir() + "soak-cluster", "127.64.1.250:19002");
    cluster.killAndWipe(0);
    EXPECT_FALSE(cluster.isRunning(0));
    cluster.signal(0, SIGCONT);
    EXPECT_FALSE(cluster.isRunning(0));
}
