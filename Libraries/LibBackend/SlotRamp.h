#pragma once

#include <cstdint>

namespace Backend {

/// Slow start: a server that was unreachable gets its slots one by one as replies prove that it is warm.
class SlotRamp
{
public:
    explicit SlotRamp(std::uint32_t limit)
        : limit_(limit)
    {
    }

    void setLimit(std::uint32_t limit) { limit_ = limit; }
    void restart();
    void recordSuccess();

    /// Slots that may be used now, between 1 and the limit.
    std::uint32_t slots() const { return open_ < limit_ ? open_ : limit_; }

private:
    std::uint32_t limit_;
    std::uint32_t open_ = 1;
    std::uint32_t successes_ = 0;
};

} // namespace Backend
