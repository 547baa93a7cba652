#include "LoadGenerator/EntryDirectory.h"

#include "LibHttp/Client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Load {

namespace {

constexpr Base::Duration AskTimeout = Base::milliseconds(500);

} // namespace

EntryDirectory::EntryDirectory(std::vector<std::string> bootstrapAddresses, std::uint64_t seed)
    : bootstrapAddresses_(std::move(bootstrapAddresses))
    , random_(seed)
{
}

std::string EntryDirectory::choose(const std::string &avoid)
{
    const std::lock_guard lock(mutex_);
    if (addresses_.empty() || clock_.now() >= validUntil_)
        refresh();
    auto candidates = addresses_;
    if (candidates.size() > 1)
        candidates.erase(std::remove(candidates.begin(), candidates.end(), avoid), candidates.end());
    if (candidates.empty())
        return {};
    std::uniform_int_distribution<std::size_t> position(0, candidates.size() - 1);
    return candidates[position(random_)];
}

void EntryDirectory::invalidate()
{
    const std::lock_guard lock(mutex_);
    validUntil_ = {};
}

void EntryDirectory::refresh()
{
    auto sources = addresses_;
    std::shuffle(sources.begin(), sources.end(), random_);
    sources.insert(sources.end(), bootstrapAddresses_.begin(), bootstrapAddresses_.end());
    for (const auto &address : sources) {
        if (refreshFrom(address))
            return;
    }
}

bool EntryDirectory::refreshFrom(const std::string &address)
{
    auto client = Http::Client::connect(address, AskTimeout);
    if (!client)
        return false;
    Http::Request request;
    request.path = "/v1/entries";
    const auto response = (*client)->exchange(request, AskTimeout);
    if (!response || response->status != 200)
        return false;
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("entries"))
        return false;
    std::vector<std::string> found;
    for (const auto &entry : body["entries"])
        found.push_back(entry.value("address", ""));
    if (found.empty())
        return false;
    addresses_ = std::move(found);
    validUntil_ = clock_.now() + Base::milliseconds(body.value("max_age_ms", 0));
    return true;
}

} // namespace Load
