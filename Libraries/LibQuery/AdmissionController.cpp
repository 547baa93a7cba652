#include "LibQuery/AdmissionController.h"

#include <algorithm>

namespace Query {

namespace {

std::optional<Base::Error> error(Base::ErrorKind kind, std::string detail = {})
{
    return Base::Error {kind, std::move(detail)};
}

} // namespace

std::optional<Base::Error> AdmissionController::admit(Base::Instant now, const CallerQuery &caller)
{
    if (auto refused = checkProcess(now))
        return refused;
    if (auto refused = checkRequest(caller))
        return refused;
    if (auto refused = checkShard(caller))
        return refused;
    if (!caller.idempotent) {
        if (auto refused = claims_.conflict(caller))
            return refused;
    }
    const auto &document = tables_.map->document();
    const auto kind = tables_.admission.admit(now, {caller.trafficClass, caller.index, caller.tenant},
                                              *document.findClass(caller.trafficClass), document);
    return kind ? error(*kind) : std::nullopt;
}

std::optional<Base::Error> AdmissionController::checkProcess(Base::Instant now) const
{
    if (tables_.shuttingDown)
        return error(Base::ErrorKind::ShuttingDown);
    if (!tables_.leaseValid(now))
        return error(Base::ErrorKind::LeaseExpired);
    if (!tables_.map)
        return error(Base::ErrorKind::LeaseExpired, "no configuration is in force yet");
    return std::nullopt;
}

std::optional<Base::Error> AdmissionController::checkRequest(const CallerQuery &caller) const
{
    const auto &document = tables_.map->document();
    if (caller.requestId.empty())
        return error(Base::ErrorKind::InvalidRequest, "request_id is missing");
    if (!isRenderable(caller.requestId))
        return error(Base::ErrorKind::InvalidRequest, "request_id is not valid UTF-8");
    if (document.findClass(caller.trafficClass) == nullptr)
        return error(Base::ErrorKind::InvalidRequest, "class is not declared");
    if (document.findTenant(caller.tenant) == nullptr)
        return error(Base::ErrorKind::InvalidRequest, "tenant is not declared");
    if (caller.deadline && caller.deadline->count() <= 0)
        return error(Base::ErrorKind::InvalidRequest, "deadline_ms is not positive");
    return std::nullopt;
}

std::optional<Base::Error> AdmissionController::checkShard(const CallerQuery &caller) const
{
    const auto *shards = tables_.map->findShards(caller.index);
    if (shards == nullptr)
        return error(Base::ErrorKind::UnknownIndex);
    if (caller.idempotent) {
        if (!caller.shard.empty())
            return error(Base::ErrorKind::InvalidRequest, "shard is given for an idempotent query");
        return std::nullopt;
    }
    if (caller.shard.empty())
        return error(Base::ErrorKind::InvalidRequest, "shard is missing");
    const bool known = std::any_of(shards->begin(), shards->end(),
                                   [&](const MappedShard &shard) { return shard.name == caller.shard; });
    return known ? std::nullopt : error(Base::ErrorKind::UnknownShard);
}

} // namespace Query
