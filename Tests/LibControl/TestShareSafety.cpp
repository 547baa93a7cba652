#include "EntryModel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Base::milliseconds;
using Tests::EntryModel;
using Tests::FakeCluster;

/// A cluster with entry processes whose renewals are delayed, reordered or lost.
class Session
{
public:
    Session()
    {
        for (int i = 0; i < 4; ++i)
            startProcess("e" + std::to_string(i));
        const auto hash = cluster.submit("two-by-4");
        cluster.promote(hash, 0, "first");
        cluster.commit();
    }

    void startProcess(const std::string &entryId)
    {
        processes.emplace_back(entryId, ++incarnation_);
        latestProcesses_[entryId] = processes.size() - 1;
    }

    void performRandomStep()
    {
        const auto roll = *rc::gen::inRange(0, 20);
        const auto entryId = "e" + std::to_string(*rc::gen::inRange(0, 4));
        if (roll < 8)
            inFlight_.push_back(
                {latestProcesses_[entryId], processes[latestProcesses_[entryId]].makeRenewal(), cluster.now});
        else if (roll < 15)
            deliverRandomRenewal();
        else if (roll < 17)
            cluster.advance(milliseconds(*rc::gen::inRange(50, 1500)));
        else if (roll == 17)
            startProcess(entryId); // The earlier process stays, as if suspended while it holds its lease.
        else if (roll == 18)
            cluster.elect(static_cast<std::size_t>(*rc::gen::inRange(0, 3)), *rc::gen::arbitrary<bool>());
        else
            promote();
    }

    void checkInvariants()
    {
        std::map<std::string, int> userCounts;
        for (const auto &process : processes) {
            for (const auto &serverId : process.usedServers(cluster.now))
                RC_ASSERT(++userCounts[serverId] == 1);
        }
        const auto accepted = cluster.content().accepted.revision;
        RC_ASSERT(accepted >= acceptedRevision_);
        acceptedRevision_ = accepted;
    }

    FakeCluster cluster;
    std::vector<EntryModel> processes;

private:
    struct Renewal
    {
        std::size_t process = 0;
        Wire::RenewLeaseRequest request;
        Base::Instant sentAt;
    };

    void deliverRandomRenewal()
    {
        if (inFlight_.empty())
            return;
        const auto position = *rc::gen::inRange<std::size_t>(0, inFlight_.size());
        const auto renewal = inFlight_[position];
        inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(position));
        const auto reply = cluster.renew(renewal.request);
        if (reply && *reply && *rc::gen::inRange(0, 5) > 0)
            processes[renewal.process].receive(renewal.sentAt, **reply);
    }

    void promote()
    {
        const auto hash = cluster.submit("two-by-" + std::to_string(*rc::gen::inRange(1, 6)));
        cluster.promote(hash, acceptedRevision_, "change-" + std::to_string(++changes_));
        cluster.commit();
    }

    std::map<std::string, std::size_t> latestProcesses_; ///< Latest process of each entry id.
    std::vector<Renewal> inFlight_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t acceptedRevision_ = 0;
    int changes_ = 0;
};

} // namespace

// Two processes that use one server at a time would exceed its slots. Covers joins, restarts beside a
// suspended predecessor, late and lost renewals, expiries, promotions and leader changes that keep or drop
// proposals.
RC_GTEST_PROP(ShareSafety, NoServerIsUsedByTwoProcesses, ())
{
    Session session;
    for (int step = 0; step < 150; ++step) {
        session.performRandomStep();
        session.checkInvariants();
    }
}

// The property above would also hold if no server was ever assigned.
TEST(ShareSafety, ServersAreUsedWhenRenewalsArrive)
{
    FakeCluster cluster;
    cluster.promote(cluster.submit("two-by-4"), 0, "first");
    EntryModel first("e1", 1);
    EntryModel second("e2", 2);
    const auto renewFor = [&cluster](EntryModel &entry) {
        entry.receive(cluster.now, **cluster.renew(entry.makeRenewal()));
    };
    for (int i = 0; i < 6; ++i) {
        renewFor(first);
        cluster.advance(milliseconds(500));
    }
    renewFor(first);
    EXPECT_EQ(first.usedServers(cluster.now).size(), 8U);
    for (int i = 0; i < 12; ++i) {
        renewFor(first);
        renewFor(second);
        cluster.advance(milliseconds(500));
    }
    EXPECT_EQ(first.usedServers(cluster.now).size(), 4U);
    EXPECT_EQ(second.usedServers(cluster.now).size(), 4U);
}
