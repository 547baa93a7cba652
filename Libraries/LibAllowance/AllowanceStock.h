#pragma once

#include "LibAllowance/UnitSource.h"
#include "LibBase/RandomSource.h"
#include "LibWire/AllowanceMessages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Allowance {

/// The right to have one request run.
struct Unit
{
    std::string key;
    Base::Instant validUntil;
};

using WaiterId = std::uint64_t;

/// What became of a request for a unit.
struct Taking
{
    enum class Kind : std::uint8_t {
        Granted,
        Waiting, ///< Decided later; see AllowanceStock::takeDecisions().
        OverLimit, ///< There is no unit, and the leader said so.
        Unavailable ///< The leader did not answer in time, or too many requests wait.
    };

    Kind kind = Kind::Unavailable;
    Unit unit; ///< Granted.
    WaiterId waiter = 0; ///< Waiting.
    Base::Duration retryAfter {}; ///< OverLimit: when a unit will probably be there.
};

/// Units that one gateway holds, fetches and spends. Decision logic; no I/O.
///
/// Units end at a time counted from when the gateway asked for them, on a clock that counts suspended time.
/// So a gateway that is cut off, frozen or restarted spends at most what it holds, and soon nothing.
class AllowanceStock final : public UnitSource
{
public:
    static constexpr std::size_t MaxKeys = 40'000;
    static constexpr std::size_t MaxWaiters = 1'024;

    explicit AllowanceStock(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Spends a unit, or queues the request until `patienceEnd`.
    Taking take(Base::Instant now, std::string_view key, Base::Instant patienceEnd);
    /// What take() would answer. Spends nothing and notes no demand.
    Taking::Kind foresee(Base::Instant now, std::string_view key, Base::Instant patienceEnd) const;
    void abandon(WaiterId waiter);

    // UnitSource
    std::optional<Base::Instant> take(Base::Instant now, std::string_view key) override;
    bool has(Base::Instant now, std::string_view key) const override;
    void giveBack(Base::Instant now, std::string_view key, Base::Instant validUntil) override;

    /// A call to the leader that should be made at once.
    struct Call
    {
        std::uint64_t sequence = 0;
        Wire::TakeAllowanceRequest request;
    };
    /// Returns the next call, if units are wanted and none is in flight; its validity counts from `now`.
    std::optional<Call> nextCall(Base::Instant now);
    /// Replies to other calls than the latest are ignored.
    void callAnswered(Base::Instant now, std::uint64_t sequence, const Wire::TakeAllowanceReply &reply);
    void callFailed(Base::Instant now, std::uint64_t sequence);
    /// Sets the least time between two calls.
    void setCallInterval(Base::Duration interval) { callInterval_ = interval; }

    void runTimers(Base::Instant now);
    std::optional<Base::Instant> nextTimer() const;
    /// Drops units that have ended and keys without use.
    void sweep(Base::Instant now);
    /// Decides all waiting requests as Unavailable.
    void abandonAll();

    struct Decision
    {
        WaiterId waiter = 0;
        Taking taking; ///< Never Waiting.
    };
    /// Decisions about waiting requests since the last call.
    std::vector<Decision> takeDecisions();

    /// Tells whether units have come since the last call for keys whose immediate takes had found none.
    bool takeArrival() { return std::exchange(hasArrival_, false); }

    std::size_t keys() const { return entries_.size(); }
    std::size_t waiters() const { return waiters_.size(); }
    std::uint64_t unitsEnded() const { return unitsEnded_; }

private:
    struct Lot
    {
        Base::Instant validUntil;
        std::uint32_t units = 0;
    };

    struct Entry
    {
        std::string_view key; ///< Of the node in `entries_`.
        double demand = 0.0; ///< Requests, fading.
        Base::Instant demandAt;
        std::vector<Lot> lots; ///< The earliest end first.
        std::uint32_t stock = 0;
        Base::Duration validity {}; ///< Of the latest grant.
        Base::Instant blockedUntil; ///< The leader has no unit before.
        Base::Instant nextRetry; ///< Named to the next request that is refused.
        Base::Duration spacing {}; ///< Mean time between two units.
        std::deque<WaiterId> waiters;
        std::uint32_t missed = 0; ///< Immediate takes that found nothing since the last call.
        bool awaited = false; ///< An immediate take has found nothing since the last grant.
        bool listed = false; ///< In `wanting_`.
    };

    struct Waiter
    {
        Entry *entry = nullptr;
        Base::Instant patienceEnd;
    };

    Entry *entryFor(Base::Instant now, std::string_view key);
    static bool hasUnit(Base::Instant now, const Entry &entry);
    Taking::Kind foresee(Base::Instant now, const Entry &entry, Base::Instant patienceEnd) const;
    static double demandAt(Base::Instant now, const Entry &entry);
    std::uint32_t wantedStock(Base::Instant now, const Entry &entry) const;
    void noteDemand(Base::Instant now, Entry &entry);
    std::optional<Base::Instant> takeFromStock(Base::Instant now, Entry &entry);
    void addLot(Entry &entry, Base::Instant validUntil, std::uint32_t units);
    void dropEnded(Base::Instant now, Entry &entry);
    void want(Entry &entry);
    void wantIfLow(Base::Instant now, Entry &entry);
    bool isIdle(Base::Instant now, const Entry &entry) const;
    void serveWaiters(Base::Instant now, Entry &entry);
    void noteArrival(Entry &entry);
    void refuseWaiters(Base::Instant now, Entry &entry);
    Base::Duration nextRetryAfter(Base::Instant now, Entry &entry);
    void decide(WaiterId waiter, Taking taking);
    void applyGrant(Base::Instant now, Entry &entry, const Wire::AllowanceAsk &ask,
                    const Wire::AllowanceGrant &grant);

    Base::RandomSource random_;
    std::map<std::string, Entry, std::less<>> entries_;
    std::vector<Entry *> wanting_; ///< Entries that may want units; they stay while they are listed.
    std::map<WaiterId, Waiter> waiters_;
    std::set<std::pair<Base::Instant, WaiterId>> patience_;
    std::vector<Decision> decisions_;
    bool hasArrival_ = false;
    std::optional<Call> open_; ///< The call in flight.
    Base::Instant askedAt_; ///< Of the call in flight.
    Base::Instant nextCallAt_;
    Base::Duration callInterval_ = Base::milliseconds(5);
    std::uint64_t lastSequence_ = 0;
    WaiterId lastWaiter_ = 0;
    std::uint64_t unitsEnded_ = 0;
};

} // namespace Allowance
