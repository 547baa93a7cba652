#include "LibBase/EventLog.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace Base {

namespace {

/// Lines per second and burst of successes; enough to sample a busy node.
constexpr double RoutineRate = 2.0;
constexpr double RoutineBurst = 10.0;
/// Lines per second and burst of failures and changes; an outage repeats itself beyond this.
constexpr double NotableRate = 40.0;
constexpr double NotableBurst = 200.0;
/// Bytes kept while the reader of the log is slow.
constexpr std::size_t MaxBufferedBytes = std::size_t {64} * 1024;
/// A pipe that polls as writable takes PIPE_BUF bytes without blocking (POSIX).
constexpr std::size_t MaxWriteBytes = 4096;

} // namespace

EventLog::EventLog(std::string part, int descriptor)
    : part_(std::move(part))
    , descriptor_(descriptor)
    , routine_ {RoutineBurst, RoutineRate, RoutineBurst}
    , notable_ {NotableBurst, NotableRate, NotableBurst}
{
}

EventLog::~EventLog()
{
    flush();
}

bool EventLog::admits(Instant now, Importance importance)
{
    const auto elapsed = std::max(0.0, toMilliseconds(now - refilledAt_) / 1000.0);
    refilledAt_ = now;
    for (auto *rate : {&routine_, &notable_})
        rate->tokens = std::min(rate->burst, rate->tokens + elapsed * rate->perSecond);
    auto &rate = importance == Importance::Routine ? routine_ : notable_;
    if (rate.tokens < 1.0 || buffer_.size() > MaxBufferedBytes) {
        ++leftOut_;
        ++leftOutTotal_;
        return false;
    }
    rate.tokens -= 1.0;
    return true;
}

void EventLog::append(std::string_view event, std::span<const LogField> fields)
{
    buffer_ += "time=" + logTimeStamp();
    appendLogField(buffer_, {"part", part_});
    appendLogField(buffer_, {"event", event});
    for (const auto &field : fields)
        appendLogField(buffer_, field);
    if (leftOut_ > 0)
        appendLogField(buffer_, {"lines_left_out", leftOut_});
    leftOut_ = 0;
    buffer_ += '\n';
}

void EventLog::write(Instant now, Importance importance, std::string_view event,
                     std::initializer_list<LogField> fields)
{
    if (admits(now, importance))
        append(event, fields);
}

void EventLog::flush()
{
    while (!buffer_.empty()) {
        pollfd state {descriptor_, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            return;
        const auto written = ::write(descriptor_, buffer_.data(), std::min(buffer_.size(), MaxWriteBytes));
        if (written <= 0)
            return;
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace Base
