#include "LibBackend/OwnerSession.h"

#include <fmt/format.h>
#include <sstream>

namespace {

struct ActionPrinter
{
    std::string operator()(const Backend::OpenConnection &action) const
    {
        return fmt::format("open {} connection={}", action.serverId, action.connectionId);
    }
    std::string operator()(const Backend::CloseConnection &action) const
    {
        return fmt::format("close {} connection={}", action.serverId, action.connectionId);
    }
    std::string operator()(const Backend::Dispatch &action) const
    {
        return fmt::format("dispatch {} {} connection={} budget_us={}", action.request.serverId,
                           action.request.attemptId, action.connectionId, action.request.budgetMicroseconds);
    }
    std::string operator()(const Backend::CancelAtServer &action) const
    {
        return fmt::format("cancel-at-server {} {}", action.serverId, action.attemptId);
    }
    std::string operator()(const Backend::ReplyToSender &action) const
    {
        const auto &reply = action.reply;
        if (reply.ok)
            return fmt::format("reply {} ok version={} queue_us={} service_us={}", reply.attemptId,
                               reply.indexVersion, reply.queueMicroseconds, reply.serviceMicroseconds);
        return fmt::format("reply {} error={} not_run={}", reply.attemptId,
                           Base::errorName(Wire::fromMessage(reply.error).kind), reply.notRun);
    }
    std::string operator()(const Backend::PollStatus &action) const
    {
        return fmt::format("poll {}", action.serverId);
    }
};

Configuration::Document makeDocument(bool leaving)
{
    Configuration::Document document;
    Configuration::Index index;
    index.name = "counter-desk";
    index.slotsPerServer = 2;
    index.connectionsPerServer = 30;
    index.servers = {{"server-a", "127.0.0.1:7001", "dc-1", leaving},
                     {"server-b", "127.0.0.2:7001", "dc-2", false}};
    index.shards = {{"shard-1", {"server-a", "server-b"}}};
    document.indexes = {index};
    return document;
}

} // namespace

OwnerSession::OwnerSession()
    : core_("entry-1")
{
}

std::string OwnerSession::run(std::string_view script)
{
    static const std::map<std::string, EventHandler> Handlers {
        {"configure", &OwnerSession::configure}, {"lease", &OwnerSession::lease},
        {"submit", &OwnerSession::submit},       {"cancel", &OwnerSession::cancel},
        {"opened", &OwnerSession::opened},       {"closed", &OwnerSession::closed},
        {"reply", &OwnerSession::reply},         {"lost", &OwnerSession::lost},
        {"status", &OwnerSession::status},       {"release", &OwnerSession::release},
        {"tick", &OwnerSession::tick},
    };
    std::istringstream lines {std::string(script)};
    std::string line;
    while (std::getline(lines, line)) {
        trace_ += line + "\n";
        std::istringstream words(line);
        std::int64_t milliseconds = 0;
        std::string event;
        if (line.starts_with('#') || !(words >> milliseconds >> event))
            continue;
        Fields fields;
        std::string word;
        while (words >> word)
            fields[word.substr(0, word.find('='))] = word.substr(word.find('=') + 1);
        (this->*Handlers.at(event))(Base::Instant(Base::milliseconds(milliseconds)), fields);
        printActions();
    }
    return trace_;
}

void OwnerSession::configure(Base::Instant now, const Fields &fields)
{
    const auto epoch = std::stoull(fields.at("epoch"));
    const bool wanted = fields.contains("release_requested");
    const std::vector<Wire::ShareRecord> shares {{"server-a", fields.at("a"), epoch, wanted},
                                                 {"server-b", fields.at("b"), 1, false}};
    core_.configure(now, makeDocument(fields.contains("leaving")), shares, {});
}

void OwnerSession::lease(Base::Instant now, const Fields &fields)
{
    core_.setLease(now + Base::milliseconds(std::stoll(fields.at("ms"))));
}

void OwnerSession::submit(Base::Instant now, const Fields &fields)
{
    Wire::ExecuteSubrequestRequest request;
    request.attemptId = fields.at("attempt");
    request.serverId = fields.at("server");
    request.shareEpoch = std::stoull(fields.at("epoch"));
    request.budgetMicroseconds = std::stoll(fields.at("budget_ms")) * 1000;
    request.indexVersion = 5;
    request.idempotent = !fields.contains("once");
    core_.submit(now, 1, request);
}

void OwnerSession::cancel(Base::Instant now, const Fields &fields)
{
    core_.cancel(now, fields.at("attempt"));
}

void OwnerSession::opened(Base::Instant now, const Fields &fields)
{
    core_.connectionOpened(now, fields.at("server"), std::stoull(fields.at("connection")));
}

void OwnerSession::closed(Base::Instant now, const Fields &fields)
{
    core_.connectionClosed(now, fields.at("server"), std::stoull(fields.at("connection")));
}

void OwnerSession::reply(Base::Instant now, const Fields &fields)
{
    Backend::BackendResponse response;
    response.status = std::stoi(fields.at("status"));
    response.attemptId = fields.contains("echo") ? fields.at("echo") : fields.at("attempt");
    response.reason = fields.contains("reason") ? fields.at("reason") : "";
    response.statedNotRun = fields.contains("not_run");
    response.indexVersion = 5;
    core_.replied(now, fields.at("attempt"), response, true);
}

void OwnerSession::lost(Base::Instant now, const Fields &fields)
{
    const bool sent = fields.at("sent") == "1";
    const auto kind = sent ? Base::ErrorKind::BackendReplyLost : Base::ErrorKind::BackendUnreachable;
    core_.replied(now, fields.at("attempt"), tl::unexpected(Backend::BackendFailure {{kind, {}}, sent}),
                  false);
}

void OwnerSession::status(Base::Instant now, const Fields &fields)
{
    Backend::BackendStatus status;
    status.versions = {5};
    status.draining = fields.contains("draining");
    core_.statusPolled(now, fields.at("server"), status);
}

void OwnerSession::release(Base::Instant, const Fields &fields)
{
    core_.release(fields.at("server"));
    for (const auto &share : core_.releasedShares())
        trace_ += fmt::format("    released {} epoch={}\n", share.serverId, share.epoch);
}

void OwnerSession::tick(Base::Instant now, const Fields &)
{
    core_.tick(now);
}

void OwnerSession::printActions()
{
    for (const auto &action : core_.takeActions())
        trace_ += "    " + std::visit(ActionPrinter {}, action) + "\n";
}
