#include "LibConfiguration/DocumentDiff.h"

#include "LibConfiguration/DurationText.h"

#include <algorithm>
#include <fmt/format.h>

namespace Configuration {

namespace {

using Sentences = std::vector<std::string>;

std::string shown(Base::Duration value)
{
    return formatDuration(value);
}

std::string shown(CompletionPolicy value)
{
    return value == CompletionPolicy::Coverage ? "coverage" : "latency";
}

template<typename T>
std::string shown(const T &value)
{
    return fmt::format("{}", value);
}

std::string counted(std::size_t count, std::string_view noun)
{
    return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

/// Adds a sentence when `member` differs between the two items.
template<typename Item, typename Value>
void compare(Sentences &sentences, const std::string &subject, std::string_view what, const Item &before,
             const Item &after, Value Item::*member)
{
    if (before.*member != after.*member)
        sentences.push_back(fmt::format("{}: {} changes from {} to {}.", subject, what, shown(before.*member),
                                        shown(after.*member)));
}

template<typename Item>
const Item *findItem(const std::vector<Item> &items, std::string Item::*key, const std::string &value)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.*key == value; });
    return found == items.end() ? nullptr : &*found;
}

/// Calls `removed`, `added` or `changed` for each item that is in one list, the other, or both.
template<typename Item, typename Removed, typename Added, typename Changed>
void walk(const std::vector<Item> &before, const std::vector<Item> &after, std::string Item::*key,
          const Removed &removed, const Added &added, const Changed &changed)
{
    for (const auto &item : before) {
        if (findItem(after, key, item.*key) == nullptr)
            removed(item);
    }
    for (const auto &item : after) {
        if (const auto *previous = findItem(before, key, item.*key))
            changed(*previous, item);
        else
            added(item);
    }
}

void compareClass(Sentences &sentences, const TrafficClass &before, const TrafficClass &after)
{
    const auto subject = fmt::format("Class {}", after.name);
    compare(sentences, subject, "the policy", before, after, &TrafficClass::policy);
    compare(sentences, subject, "the deadline", before, after, &TrafficClass::deadline);
    compare(sentences, subject, "the latency target", before, after, &TrafficClass::latencyTarget);
    compare(sentences, subject, "the extra load budget", before, after, &TrafficClass::extraLoadBudget);
    compare(sentences, subject, "the hedge quantile", before, after, &TrafficClass::hedgeQuantile);
    compare(sentences, subject, "the limit on queries in flight", before, after,
            &TrafficClass::maxQueriesInFlight);
}

void compareServer(Sentences &sentences, const std::string &index, const BackendServer &before,
                   const BackendServer &after)
{
    const auto subject = fmt::format("{}, server {}", index, after.id);
    compare(sentences, subject, "the address", before, after, &BackendServer::address);
    compare(sentences, subject, "the data centre", before, after, &BackendServer::dataCentre);
    if (!before.leaving && after.leaving)
        sentences.push_back(fmt::format("{}: it starts leaving and gets no new work.", subject));
    if (before.leaving && !after.leaving)
        sentences.push_back(fmt::format("{}: it stops leaving and gets work again.", subject));
}

void compareServers(Sentences &sentences, const std::string &subject, const Index &before, const Index &after)
{
    walk(
        before.servers, after.servers, &BackendServer::id,
        [&](const BackendServer &server) {
            sentences.push_back(fmt::format("{}: server {} is removed.", subject, server.id));
        },
        [&](const BackendServer &server) {
            sentences.push_back(fmt::format("{}: server {} is added at {} in data centre {}.", subject,
                                            server.id, server.address, server.dataCentre));
        },
        [&](const BackendServer &previous, const BackendServer &server) {
            compareServer(sentences, subject, previous, server);
        });
}

bool contains(const std::vector<std::string> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void compareReplicas(Sentences &sentences, const std::string &subject, const Shard &before,
                     const Shard &after)
{
    for (const auto &id : before.serverIds) {
        if (!contains(after.serverIds, id))
            sentences.push_back(fmt::format("{}, shard {}: replica {} is removed.", subject, after.name, id));
    }
    for (const auto &id : after.serverIds) {
        if (!contains(before.serverIds, id))
            sentences.push_back(fmt::format("{}, shard {}: replica {} is added.", subject, after.name, id));
    }
}

void compareShards(Sentences &sentences, const std::string &subject, const Index &before, const Index &after)
{
    walk(
        before.shards, after.shards, &Shard::name,
        [&](const Shard &shard) {
            sentences.push_back(fmt::format("{}: shard {} is removed.", subject, shard.name));
        },
        [&](const Shard &shard) {
            sentences.push_back(fmt::format("{}: shard {} is added with {}.", subject, shard.name,
                                            counted(shard.serverIds.size(), "server")));
        },
        [&](const Shard &previous, const Shard &shard) {
            compareReplicas(sentences, subject, previous, shard);
        });
}

void compareIndex(Sentences &sentences, const Index &before, const Index &after)
{
    const auto subject = fmt::format("Index {}", after.name);
    compare(sentences, subject, "the number of slots per server", before, after, &Index::slotsPerServer);
    compare(sentences, subject, "the number of connections per server", before, after,
            &Index::connectionsPerServer);
    compare(sentences, subject, "the connect time", before, after, &Index::connectTime);
    compareServers(sentences, subject, before, after);
    compareShards(sentences, subject, before, after);
}

void compareClasses(Sentences &sentences, const Document &before, const Document &after)
{
    walk(
        before.classes, after.classes, &TrafficClass::name,
        [&](const TrafficClass &item) {
            sentences.push_back(fmt::format("Class {} is removed; its queries are refused.", item.name));
        },
        [&](const TrafficClass &item) {
            sentences.push_back(fmt::format("Class {} is added with policy {} and deadline {}.", item.name,
                                            shown(item.policy), shown(item.deadline)));
        },
        [&](const TrafficClass &previous, const TrafficClass &item) {
            compareClass(sentences, previous, item);
        });
}

void compareTenants(Sentences &sentences, const Document &before, const Document &after)
{
    walk(
        before.tenants, after.tenants, &Tenant::name,
        [&](const Tenant &item) {
            sentences.push_back(fmt::format("Tenant {} is removed; its queries are refused.", item.name));
        },
        [&](const Tenant &item) {
            sentences.push_back(fmt::format("Tenant {} is added with weight {}.", item.name, item.weight));
        },
        [&](const Tenant &previous, const Tenant &item) {
            compare(sentences, fmt::format("Tenant {}", item.name), "the weight", previous, item,
                    &Tenant::weight);
        });
}

void compareIndexes(Sentences &sentences, const Document &before, const Document &after)
{
    walk(
        before.indexes, after.indexes, &Index::name,
        [&](const Index &item) {
            sentences.push_back(fmt::format("Index {} is removed with its {} and {}.", item.name,
                                            counted(item.shards.size(), "shard"),
                                            counted(item.servers.size(), "server")));
        },
        [&](const Index &item) {
            sentences.push_back(fmt::format("Index {} is added with {} and {}.", item.name,
                                            counted(item.shards.size(), "shard"),
                                            counted(item.servers.size(), "server")));
        },
        [&](const Index &previous, const Index &item) { compareIndex(sentences, previous, item); });
}

} // namespace

std::vector<std::string> describeChanges(const Document &before, const Document &after)
{
    Sentences sentences;
    compare(sentences, "Document", "the environment", before, after, &Document::environment);
    compare(sentences, "Document", "the maximum age of entry addresses", before, after,
            &Document::addressMaxAge);
    compareClasses(sentences, before, after);
    compareTenants(sentences, before, after);
    compareIndexes(sentences, before, after);
    return sentences;
}

} // namespace Configuration
