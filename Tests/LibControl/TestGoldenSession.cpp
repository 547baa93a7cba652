#include "EntryModel.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace {

using Base::milliseconds;
using Tests::EntryModel;
using Tests::FakeCluster;

constexpr std::int64_t CreatedAt = 1'699'999'000'000;

/// Runs the script and records events, replies and states as lines.
class Script
{
public:
    std::string play()
    {
        start();
        promoteWhileRacing();
        loseEntry();
        changeLeader();
        std::ostringstream text;
        for (const auto &line : cluster_.trace)
            text << line << '\n';
        return text.str();
    }

private:
    void note(const std::string &line) { cluster_.trace.push_back("-- " + line); }

    void run(const std::vector<EntryModel *> &entries, int renewals)
    {
        for (int i = 0; i < renewals; ++i) {
            for (auto *entry : entries)
                entry->receive(cluster_.now, **cluster_.renew(entry->makeRenewal()));
            cluster_.advance(milliseconds(500));
        }
    }

    void noteShares()
    {
        for (const auto &[serverId, share] : cluster_.content().shares)
            note(fmt::format("share {} owner={} epoch={}", serverId, share.entryId, share.epoch));
    }

    void promote(const std::string &text, std::uint64_t base, const std::string &changeId)
    {
        cluster_.leader().promote(
            cluster_.now, {cluster_.submit(text), base, changeId}, [this, changeId](const auto &result) {
                note(result ? fmt::format("{} state={} revision={} change={}", changeId,
                                          static_cast<int>(result->state), result->revision, result->changeId)
                            : changeId + " " + std::string(errorName(result.error().kind)));
            });
        cluster_.commit();
    }

    void claim(const std::string &entryId, std::uint64_t incarnation, std::uint64_t attempt)
    {
        const auto reply = cluster_.claim({"request-1", "digest", entryId, incarnation, CreatedAt, attempt});
        note(fmt::format("claim by {} state={}", entryId, static_cast<int>(reply->state)));
    }

    void start()
    {
        note("two entry processes join and the first document is promoted");
        run({&first_, &second_}, 1);
        promote("two-by-2", 0, "change-a");
        run({&first_, &second_}, 4);
        noteShares();
    }

    void promoteWhileRacing()
    {
        note("two operators race on revision 1");
        promote("two-by-3", 1, "change-b");
        promote("two-by-1", 1, "change-c");
        run({&first_, &second_}, 4);
        noteShares();
    }

    void loseEntry()
    {
        note("the second entry process claims a request and dies");
        claim("e2", 2, 1);
        run({&first_}, 5);
        claim("e1", 1, 1);
        run({&first_}, 4);
        claim("e1", 1, 1);
        noteShares();
    }

    void changeLeader()
    {
        note("the leader changes while a promotion is pending");
        promote("two-by-1", 2, "change-d");
        cluster_.elect(1);
        promote("two-by-1", 2, "change-d");
        run({&first_}, 5);
        noteShares();
    }

    FakeCluster cluster_;
    EntryModel first_ {"e1", 1};
    EntryModel second_ {"e2", 2};
};

} // namespace

// Any change of order, timing or wording in a whole session shows as a difference. Set
// DAISYROUTE_WRITE_GOLDEN=1 to regenerate the file, and review the difference.
TEST(GoldenSession, MatchesFile)
{
    const std::string path = std::string(DAISYROUTE_SOURCE_DIR) + "/Tests/LibControl/Golden/session.txt";
    const auto trace = Script().play();
    if (std::getenv("DAISYROUTE_WRITE_GOLDEN") != nullptr)
        std::ofstream(path) << trace;
    std::ostringstream golden;
    golden << std::ifstream(path).rdbuf();
    EXPECT_EQ(trace, golden.str());
}
