#pragma once

#include "LibBase/Clock.h"

#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Load {

/// Chooses entry addresses as a caller would: asks the system, caches the reply for its maximum age.
class EntryDirectory
{
public:
    EntryDirectory(std::vector<std::string> bootstrapAddresses, std::uint64_t seed);

    /// Returns an entry address other than `avoid` where there is one; empty when none is known.
    std::string choose(const std::string &avoid);

    /// Asks again before the next choice, after an entry could not be reached.
    void invalidate();

private:
    void refresh();
    bool refreshFrom(const std::string &address);

    std::mutex mutex_;
    Base::SystemClock clock_;
    std::vector<std::string> bootstrapAddresses_;
    std::vector<std::string> addresses_;
    Base::Instant validUntil_ {};
    std::mt19937_64 random_;
};

} // namespace Load
