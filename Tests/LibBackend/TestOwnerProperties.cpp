#include "LibBackend/OwnerCore.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

constexpr std::uint32_t SlotLimit = 2;

/// Drives one OwnerCore with random events and checks its limits after each of them.
class RandomOwnerRun
{
public:
    RandomOwnerRun()
        : core_("entry-1")
    {
        Configuration::Index index;
        index.slotsPerServer = SlotLimit;
        index.connectionsPerServer = 4;
        index.servers = {{"server-a", "127.0.0.1:7001", "dc-1", false}};
        document_.indexes = {index};
        configure();
    }

    void step(std::uint8_t choice, std::uint8_t amount)
    {
        now_ += Base::milliseconds(amount % 16);
        using Step = void (RandomOwnerRun::*)(std::uint8_t);
        static constexpr Step Steps[] = {
            &RandomOwnerRun::submit, &RandomOwnerRun::submit, &RandomOwnerRun::reply, &RandomOwnerRun::reply,
            &RandomOwnerRun::cancel, &RandomOwnerRun::open,   &RandomOwnerRun::fail,  &RandomOwnerRun::lease,
            &RandomOwnerRun::move,   &RandomOwnerRun::tick};
        (this->*Steps[choice % std::size(Steps)])(amount);
        drain();
    }

    std::size_t pending() const { return unanswered_.size(); }

    void finish()
    {
        now_ += Base::seconds(10);
        core_.tick(now_);
        drain();
    }

private:
    void configure()
    {
        const std::vector<Wire::ShareRecord> shares {{"server-a", "entry-1", epoch_, false}};
        core_.configure(now_, document_, shares, {});
    }

    void submit(std::uint8_t amount)
    {
        Wire::ExecuteSubrequestRequest request;
        request.attemptId = "attempt-" + std::to_string(++attempts_);
        request.serverId = "server-a";
        request.shareEpoch = epoch_;
        request.budgetMicroseconds = std::int64_t {1000} * (amount % 64);
        unanswered_.insert(request.attemptId);
        core_.submit(now_, attempts_, request);
    }

    void reply(std::uint8_t amount)
    {
        if (atServer_.empty())
            return;
        const auto position =
            std::next(atServer_.begin(), static_cast<std::ptrdiff_t>(amount % atServer_.size()));
        const auto attemptId = position->first;
        atServer_.erase(position);
        Backend::BackendResponse response;
        response.status = amount % 3 == 0 ? 503 : 200;
        response.attemptId = attemptId;
        response.statedNotRun = response.status == 503;
        core_.replied(now_, attemptId, response, true);
    }

    void cancel(std::uint8_t amount)
    {
        core_.cancel(now_, "attempt-" + std::to_string(1 + amount % (attempts_ + 1)));
    }

    void open(std::uint8_t)
    {
        if (opening_.empty())
            return;
        const auto connection = *opening_.begin();
        opening_.erase(opening_.begin());
        core_.connectionOpened(now_, "server-a", connection);
    }

    void fail(std::uint8_t)
    {
        if (opening_.empty())
            return;
        const auto connection = *opening_.begin();
        opening_.erase(opening_.begin());
        core_.connectionClosed(now_, "server-a", connection);
    }

    void lease(std::uint8_t amount)
    {
        leaseUntil_ = now_ + Base::milliseconds(amount);
        core_.setLease(leaseUntil_);
    }

    void move(std::uint8_t)
    {
        ++epoch_;
        configure();
    }

    void tick(std::uint8_t) { core_.tick(now_); }

    void drain()
    {
        for (const auto &action : core_.takeActions())
            std::visit([this](const auto &typed) { handle(typed); }, action);
    }

    void handle(const Backend::OpenConnection &action) { opening_.insert(action.connectionId); }
    void handle(const Backend::CloseConnection &) { }
    void handle(const Backend::CancelAtServer &) { }
    void handle(const Backend::PollStatus &) { }

    void handle(const Backend::Dispatch &action)
    {
        RC_ASSERT(now_ < leaseUntil_);
        RC_ASSERT(dispatched_.insert(action.request.attemptId).second);
        RC_ASSERT(unanswered_.contains(action.request.attemptId));
        atServer_[action.request.attemptId] = action.connectionId;
        RC_ASSERT(atServer_.size() <= SlotLimit);
    }

    void handle(const Backend::ReplyToSender &action)
    {
        RC_ASSERT(unanswered_.erase(action.reply.attemptId) == 1U);
        const bool wasAnsweredByServer = !atServer_.contains(action.reply.attemptId);
        if (action.reply.notRun && !wasAnsweredByServer)
            RC_FAIL("said not run while the server has the request");
    }

    Backend::OwnerCore core_;
    Configuration::Document document_;
    Base::Instant now_ {};
    Base::Instant leaseUntil_ {};
    std::uint64_t epoch_ = 1;
    std::uint64_t attempts_ = 0;
    std::set<Backend::ConnectionId> opening_;
    std::set<std::string> unanswered_;
    std::set<std::string> dispatched_;
    std::map<std::string, Backend::ConnectionId> atServer_;
};

} // namespace

// Guards the slot limit, the lease check before dispatch, one dispatch per attempt, one answer per
// sub-request, and "not run" only for requests that the server does not have, under random orders of events.
RC_GTEST_PROP(OwnerProperties, LimitsHoldUnderRandomEvents,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps))
{
    RandomOwnerRun run;
    run.step(7, 255);
    for (const auto &[choice, amount] : steps)
        run.step(choice, amount);
    run.finish();
    RC_ASSERT(run.pending() == 0U);
}

// A process that stops with queued work must not touch freed attempts; the queues link into the attempt
// table.
TEST(OwnerCore, CanBeDestroyedWithQueuedWork)
{
    RandomOwnerRun run;
    run.step(7, 255);
    // An amount of 48 keeps the clock still and gives each sub-request 48 ms.
    for (int count = 0; count < 8; ++count)
        run.step(0, 48);
    EXPECT_EQ(run.pending(), 8U);
}
