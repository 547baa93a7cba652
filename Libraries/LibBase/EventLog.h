#pragma once

#include "LibBase/Log.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace Base {

/// Structured lines "time=… part=… event=… key=value …" about decisions, for people who explain a failure
/// afterwards. The volume is bounded by a rate for each importance; what was left out is counted in the next
/// line. Writing never blocks: lines that the reader does not take are dropped once the buffer is full. Not
/// thread-safe.
class EventLog
{
public:
    /// Routine events (successes) have a lower rate than notable ones (failures, changes of belief).
    enum class Importance : std::uint8_t { Routine, Notable };

    /// `descriptor` stays open and is not owned.
    EventLog(std::string part, int descriptor);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Tells whether a line of this importance would be written now; counts it as left out otherwise. Lets
    /// callers skip the formatting of fields.
    bool admits(Instant now, Importance importance);

    /// Writes a line for which admits() returned true.
    void append(std::string_view event, std::span<const LogField> fields);
    void append(std::string_view event, std::initializer_list<LogField> fields)
    {
        append(event, std::span(fields.begin(), fields.size()));
    }

    /// admits() and append() in one call.
    void write(Instant now, Importance importance, std::string_view event,
               std::initializer_list<LogField> fields);

    /// Hands as many bytes to the descriptor as it takes at once.
    void flush();

    std::uint64_t linesLeftOut() const { return leftOutTotal_; }

private:
    struct Rate
    {
        double tokens = 0.0;
        double perSecond = 0.0;
        double burst = 0.0;
    };

    std::string part_;
    int descriptor_;
    std::string buffer_;
    Rate routine_;
    Rate notable_;
    Instant refilledAt_ {};
    std::uint64_t leftOut_ = 0; ///< Since the last line.
    std::uint64_t leftOutTotal_ = 0;
};

} // namespace Base
