// Load patterns of a service with two copies, one of which leaves or asks for pauses.

#include "LibForward/ForwardFixture.h"

#include <fmt/format.h>

using Base::seconds;
using Tests::ForwardFixture;
using Tests::milliseconds;

namespace {

constexpr Base::Duration LoadTime = seconds(9);
/// One copy can serve a request each 6 ms: the first load fits one of them, the second needs both.
constexpr Base::Duration LoadOfOneCopy = milliseconds(8);
constexpr Base::Duration LoadOfBothCopies = milliseconds(5);
constexpr Base::Duration ServiceTime = milliseconds(12);
constexpr Base::Duration DrainTime = milliseconds(3000);
constexpr Base::Duration PauseTime = seconds(3);
/// Within this time of a refusal, requests on their way may still arrive.
constexpr Base::Duration PauseSlack = milliseconds(500);
/// The server that asks for pauses turns away each request of this number.
constexpr unsigned RefusalInterval = 4;

struct Seen
{
    unsigned sentToNoisy = 0; ///< Requests that the leaving or pausing copy got.
    unsigned tooLate = 0; ///< Of these, later than allowed.
    unsigned refused = 0;
    std::size_t served = 0;
    Base::Duration p99 {};
};

class ServerNoticesLoad : public ForwardFixture
{
protected:
    enum class Notice : std::uint8_t { Leaving, Pause };

    /// Sends a steady load to service s0, of which s0-a gives notice; `obeyed` says whether the gateway reads
    /// it.
    Seen runLoad(Notice notice, Base::Duration requestInterval, bool obeyed)
    {
        Seen seen;
        const auto startedAt = now;
        std::map<Forward::ExchangeId, Base::Instant> begun;
        std::vector<Forward::SendAttempt> open;
        std::vector<Base::Instant> sentAt;
        std::optional<Base::Instant> firstNotice;
        std::vector<Base::Instant> refusals;
        unsigned arrivals = 0;
        const auto observe = [&] {
            for (; taken < sends.size(); ++taken) {
                open.push_back(sends[taken]);
                sentAt.push_back(now);
                if (sends[taken].backend->record.id != "s0-a")
                    continue;
                ++seen.sentToNoisy;
                const bool duringPause =
                    std::any_of(refusals.begin(), refusals.end(), [this](Base::Instant at) {
                        return now > at + PauseSlack && now < at + PauseTime;
                    });
                const bool afterDrain = firstNotice && now > *firstNotice + DrainTime;
                const bool late = notice == Notice::Leaving ? afterDrain : duringPause;
                seen.tooLate += late ? 1 : 0;
            }
        };
        for (auto next = now; now - startedAt < LoadTime; advance(milliseconds(1))) {
            if (now >= next) {
                begun[begin("/s/x")] = now;
                next += requestInterval;
            }
            observe();
            for (std::size_t index = 0; index < open.size();) {
                if (now - sentAt[index] < ServiceTime) {
                    ++index;
                    continue;
                }
                auto answer = success();
                if (open[index].backend->record.id == "s0-a") {
                    if (notice == Notice::Leaving) {
                        firstNotice = firstNotice.value_or(now);
                        answer.announcesLeaving = obeyed;
                    } else if (++arrivals % RefusalInterval == 0) {
                        refusals.push_back(now);
                        answer = notExecuted(503);
                        answer.pause = obeyed ? std::optional(PauseTime) : std::nullopt;
                    }
                }
                const auto attempt = open[index].attempt;
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                sentAt.erase(sentAt.begin() + static_cast<std::ptrdiff_t>(index));
                reply(attempt, std::move(answer));
                observe();
            }
        }
        std::vector<Base::Duration> latencies;
        for (const auto &answer : answers) {
            if (answer.outcome.kind == Forward::Outcome::Kind::Refused)
                ++seen.refused;
            else
                latencies.push_back(answeredAt.at(answer.exchange) - begun.at(answer.exchange));
        }
        std::sort(latencies.begin(), latencies.end());
        seen.served = latencies.size();
        seen.p99 = latencies.at(latencies.size() * 99 / 100);
        fmt::print("{} obeyed={}: requests {}, at the copy that gives notice {}, too late {}, refused {}, "
                   "p99 {} ms\n",
                   notice == Notice::Leaving ? "leaving" : "pausing", obeyed, begun.size(), seen.sentToNoisy,
                   seen.tooLate, seen.refused, Base::toMilliseconds(seen.p99));
        return seen;
    }
};

} // namespace

// The list shows a leaving server as ready for seconds. Nothing may reach it later than the drain time.
TEST_F(ServerNoticesLoad, LeavingCopyIsUsedUntilItsEndIfNotObeyed)
{
    EXPECT_GT(runLoad(Notice::Leaving, LoadOfOneCopy, false).tooLate, 100U);
}

TEST_F(ServerNoticesLoad, ObeyedLeavingCopyGetsNothingTooLate)
{
    const auto seen = runLoad(Notice::Leaving, LoadOfOneCopy, true);
    EXPECT_EQ(seen.tooLate, 0U);
    EXPECT_EQ(seen.refused, 0U);
    EXPECT_LE(seen.p99, milliseconds(100));
}

// At most two requests may reach a server between half a second after its refusal and the end of its pause.
TEST_F(ServerNoticesLoad, PausingCopyIsOverrunIfNotObeyed)
{
    EXPECT_GT(runLoad(Notice::Pause, LoadOfBothCopies, false).tooLate, 50U);
}

TEST_F(ServerNoticesLoad, ObeyedPausingCopyGetsAtMostTwo)
{
    const auto seen = runLoad(Notice::Pause, LoadOfBothCopies, true);
    EXPECT_LE(seen.tooLate, 2U);
    // What the other copy cannot take is refused, or waits for a short time.
    EXPECT_GT(seen.served, seen.refused);
    EXPECT_LE(seen.p99, milliseconds(200));
}
