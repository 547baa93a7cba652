#include "LibConfiguration/Document.h"

#include <algorithm>

namespace Configuration {

namespace {

template<typename Item, typename Name>
const Item *findByName(const std::vector<Item> &items, Name Item::*member, std::string_view name)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.*member == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const Shard *Index::findShard(std::string_view shardName) const
{
    return findByName(shards, &Shard::name, shardName);
}

const BackendServer *Index::findServer(std::string_view serverId) const
{
    return findByName(servers, &BackendServer::id, serverId);
}

const TrafficClass *Document::findClass(std::string_view className) const
{
    return findByName(classes, &TrafficClass::name, className);
}

const Tenant *Document::findTenant(std::string_view tenantName) const
{
    return findByName(tenants, &Tenant::name, tenantName);
}

const Index *Document::findIndex(std::string_view indexName) const
{
    return findByName(indexes, &Index::name, indexName);
}

} // namespace Configuration
