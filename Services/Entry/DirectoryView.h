#pragma once

#include "LibBase/Time.h"
#include "LibWire/Directory.h"

#include <memory>
#include <mutex>
#include <string>

namespace Services {

/// The list of entry processes as callers get it; written by the decision thread, read by HTTP threads.
class DirectoryView
{
public:
    void update(const Wire::Directory &directory, std::uint64_t revision, Base::Duration maxAge);

    /// JSON body of GET /v1/entries.
    std::string entriesJson() const;

private:
    mutable std::mutex mutex_;
    std::string entriesJson_ = R"({"max_age_ms":0,"revision":0,"entries":[]})";
};

} // namespace Services
