#include "FakeCluster.h"

#include <charconv>

namespace Tests {

FakeCluster::FakeCluster()
{
    for (const std::string nodeId : {"c1", "c2", "c3"}) {
        Control::ControlCoreOptions options;
        options.environment = "test";
        options.parse = &FakeCluster::parse;
        options.onEvent = [this, nodeId](Base::LogLevel level, std::string_view message,
                                         std::initializer_list<Base::LogField> fields) {
            trace.push_back(Base::formatLogLine(level, nodeId, message, fields));
        };
        nodes.push_back(std::make_unique<Node>(nodeId, std::move(options)));
    }
    elect(0);
}

void FakeCluster::elect(std::size_t index, bool keepUncommitted)
{
    auto inherited = std::exchange(nodes[leaderIndex]->raft.uncommitted, {});
    if (!keepUncommitted)
        inherited.clear();
    ++term_;
    for (const auto &node : nodes) {
        node->raft.leads = false;
        node->raft.term = term_;
        node->raft.leaderId = "c" + std::to_string(index + 1);
    }
    leaderIndex = index;
    auto &raft = nodes[index]->raft;
    raft.leads = true;
    raft.hasQuorum = true;
    raft.uncommitted = std::move(inherited);
    raft.uncommitted.push_back(
        {log.size() + raft.uncommitted.size() + 1, term_, Wire::RaftEntryKind::Noop, {}});
    for (const auto &node : nodes)
        node->core.tick(now);
    commit();
}

void FakeCluster::commit()
{
    auto &raft = nodes[leaderIndex]->raft;
    do {
        if (raft.hasQuorum) {
            for (auto &entry : std::exchange(raft.uncommitted, {}))
                log.push_back(std::move(entry));
        }
        for (const auto &node : nodes)
            applyCommitted(*node);
    } while (raft.hasQuorum && !raft.uncommitted.empty());
}

void FakeCluster::applyCommitted(Node &node)
{
    Consensus::Ready ready;
    ready.committed.assign(log.begin() + static_cast<std::ptrdiff_t>(node.appliedEntries), log.end());
    node.appliedEntries = log.size();
    // Updated first, because the core may propose while it applies entries.
    node.raft.committedIndex = log.size();
    const auto applied = node.core.handleReady(now, ready);
    if (!applied)
        throw std::runtime_error(applied.error().detail);
}

void FakeCluster::advance(Base::Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += Base::milliseconds(50);
        wallNow += 50;
        commit();
    }
}

std::string FakeCluster::submit(const std::string &text)
{
    std::string hash;
    leader().submitDocument(now, text, [&hash](const auto &result) { hash = result->documentHash; });
    commit();
    return hash;
}

std::shared_ptr<std::optional<Base::Result<Control::PromotionResult>>>
FakeCluster::promote(const std::string &hash, std::uint64_t base, const std::string &changeId)
{
    auto outcome = std::make_shared<std::optional<Base::Result<Control::PromotionResult>>>();
    leader().promote(now, {hash, base, changeId}, [outcome](const auto &result) { *outcome = result; });
    return outcome;
}

std::optional<Base::Result<Wire::RenewLeaseReply>> FakeCluster::renew(const Wire::RenewLeaseRequest &request)
{
    auto reply = std::make_shared<std::optional<Base::Result<Wire::RenewLeaseReply>>>();
    leader().renewLease(now, request, [reply](const auto &result) { *reply = result; });
    commit();
    return *reply;
}

Base::Result<Wire::ClaimRequestReply> FakeCluster::claim(const Wire::ClaimRequestMessage &request)
{
    Base::Result<Wire::ClaimRequestReply> reply = Base::fail(Base::ErrorKind::Internal);
    leader().claim(now, wallNow, request, [&reply](const auto &result) { reply = result; });
    commit();
    return reply;
}

Base::Result<Wire::RecordOutcomeReply> FakeCluster::record(const Wire::RecordOutcomeRequest &request)
{
    Base::Result<Wire::RecordOutcomeReply> reply = Base::fail(Base::ErrorKind::Internal);
    leader().recordOutcome(now, request, [&reply](const auto &result) { reply = result; });
    commit();
    return reply;
}

Wire::RenewLeaseRequest FakeCluster::renewal(const std::string &entryId, std::uint64_t staged,
                                             std::uint64_t incarnation)
{
    Wire::RenewLeaseRequest request;
    const auto dataCentre = std::string("dc") + static_cast<char>('1' + entryId.back() % 3);
    request.entry = {entryId,         incarnation,     dataCentre,
                     entryId + ":80", entryId + ":81", Wire::EntryState::Serving};
    request.stagedRevision = staged;
    return request;
}

Configuration::ParseOutcome FakeCluster::parse(std::string_view text)
{
    constexpr std::string_view Prefix = "two-by-";
    int shards = 0;
    if (text.starts_with(Prefix))
        std::from_chars(text.data() + Prefix.size(), text.data() + text.size(), shards);
    if (shards == 0)
        return {std::nullopt, {{1, "text", std::string(text), "two-by-N"}}};
    Configuration::Document document;
    document.environment = "test";
    document.indexes.push_back({"index", 2, 30, {}, {}, {}});
    auto &index = document.indexes.back();
    for (int shard = 0; shard < shards; ++shard) {
        const auto name = "s" + std::to_string(shard);
        index.shards.push_back({name, {name + "a", name + "b"}});
        for (const char *replica : {"a", "b"})
            index.servers.push_back(
                {name + replica, "127.0.0.1:1", replica[0] == 'a' ? "dc1" : "dc2", false});
    }
    return {document, {}};
}

} // namespace Tests
