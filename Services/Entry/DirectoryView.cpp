#include "Services/Entry/DirectoryView.h"

#include <nlohmann/json.hpp>

namespace Services {

void DirectoryView::update(const Wire::Directory &directory, std::uint64_t revision, Base::Duration maxAge)
{
    nlohmann::ordered_json body {
        {"max_age_ms", maxAge / Base::milliseconds(1)},
        {"revision", revision},
        {"entries", nlohmann::ordered_json::array()},
    };
    for (const auto &entry : directory.entries) {
        if (entry.state != Wire::EntryState::Serving)
            continue;
        body["entries"].push_back(
            {{"id", entry.entryId}, {"address", entry.callerAddress}, {"data_centre", entry.dataCentre}});
    }
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::lock_guard lock(mutex_);
    entriesJson_ = std::move(text);
}

std::string DirectoryView::entriesJson() const
{
    const std::lock_guard lock(mutex_);
    return entriesJson_;
}

} // namespace Services
