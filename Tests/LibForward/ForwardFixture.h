#pragma once

#include "LibForward/ForwardCore.h"
#include "LibForward/QueueingServers.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Tests {

using Base::Instant;
using Base::milliseconds;

inline Wire::ServerRecord serverRecord(const std::string &id, const std::string &service, int port)
{
    return {id, 0, service, "10.0.0.1:" + std::to_string(port), "dc-a", 2, Wire::ServerState::Ready, 0};
}

/// ForwardCore on logical time with `shards` services "s0", "s1"… of two servers each, "s0-a" and "s0-b".
class ForwardFixture : public ::testing::Test
{
protected:
    static constexpr int Shards = 10;

    ForwardFixture() { useOptions({"dc-a", 1, 0.2, 1000.0}); }

    void useOptions(const Forward::ForwardOptions &options)
    {
        core = std::make_unique<Forward::ForwardCore>(options);
        core->setServers(now, list());
    }

    static Wire::ServerList list()
    {
        Wire::ServerList servers;
        for (int shard = 0; shard < Shards; ++shard) {
            for (const char *suffix : {"a", "b"}) {
                const auto service = fmt::format("s{}", shard);
                servers.servers.push_back(
                    serverRecord(service + "-" + suffix, service, 1000 + 2 * shard + (*suffix == 'b')));
            }
        }
        servers.digest = 1;
        return servers;
    }

    static std::shared_ptr<const Route::RouteTable> makeTable()
    {
        Route::Configuration configuration;
        configuration.version = 1;
        Route::RouteRule gather;
        gather.name = "gather";
        gather.host = "h";
        gather.prefix = "/g/";
        gather.repeatability = Route::Repeatability::Idempotent;
        gather.timeout = milliseconds(1000);
        gather.latencyTarget = milliseconds(100);
        gather.attempts = 2;
        gather.gather = Route::GatherRule {{}, 3, 0.8};
        for (int shard = 0; shard < Shards; ++shard) {
            const auto name = fmt::format("s{}", shard);
            gather.gather->shards.push_back(name);
            configuration.services[name] = {name, 40};
        }
        auto single = gather;
        single.name = "single";
        single.prefix = "/s/";
        single.gather.reset();
        single.targets = {{"s0", 1.0}};
        auto once = single;
        once.name = "once";
        once.prefix = "/o/";
        once.repeatability = Route::Repeatability::AtMostOnce;
        configuration.routes = {gather, single, once};
        return std::make_shared<const Route::RouteTable>(std::move(configuration));
    }

    Forward::ExchangeId begin(const std::string &path)
    {
        const auto id = core->begin(
            now, {table, table->find("h", path), milliseconds(1000), {.network = milliseconds(10)}});
        collect();
        return id;
    }

    static Forward::AttemptReply success(std::string body = std::string(16, 'r'))
    {
        Forward::AttemptReply reply;
        reply.response.status = 200;
        reply.response.body = std::move(body);
        reply.proof = "proof";
        return reply;
    }

    static Forward::AttemptReply notExecuted(int status)
    {
        Forward::AttemptReply reply;
        reply.response.status = status;
        reply.notExecuted = true;
        return reply;
    }

    void reply(Forward::AttemptId attempt, Forward::AttemptReply answer)
    {
        core->replyArrived(now, attempt, std::move(answer));
        collect();
    }

    void fail(Forward::AttemptId attempt, Edge::ExchangeFailure failure)
    {
        core->attemptFailed(now, attempt, failure);
        collect();
    }

    void leave(Forward::ExchangeId id)
    {
        core->callerLeft(now, id);
        collect();
    }

    void advance(Base::Duration step)
    {
        const auto end = now + step;
        while (true) {
            const auto next = core->nextTimer();
            if (!next || *next > end)
                break;
            now = std::max(now, *next);
            core->runTimers(now);
            collect();
        }
        now = end;
    }

    /// Passes all sends to the servers, advances time by `step` and replies to the attempts that have ended.
    void runServers(QueueingServers &servers, Base::Duration step)
    {
        takeSends(servers);
        advance(step);
        takeSends(servers);
        for (const auto attempt : servers.finish(now))
            reply(attempt, success());
    }

    void takeSends(QueueingServers &servers)
    {
        for (; taken < sends.size(); ++taken)
            servers.take(now, sends[taken]);
    }

    void collect()
    {
        for (auto &action : core->takeActions()) {
            if (auto *send = std::get_if<Forward::SendAttempt>(&action))
                sends.push_back(*send);
            else if (auto *answer = std::get_if<Forward::AnswerCaller>(&action)) {
                answeredAt[answer->exchange] = now;
                answers.push_back(std::move(*answer));
            } else if (auto *abort = std::get_if<Forward::AbortAttempt>(&action))
                aborts.push_back(abort->attempt);
            else if (auto *notice = std::get_if<Forward::ServerNotice>(&action))
                notices.push_back(*notice);
            else if (auto *left = std::get_if<Forward::CallerGone>(&action))
                gone.push_back(*left);
        }
    }

    Instant now {milliseconds(1'000'000)};
    std::shared_ptr<const Route::RouteTable> table = makeTable();
    std::unique_ptr<Forward::ForwardCore> core;
    std::vector<Forward::SendAttempt> sends;
    std::size_t taken = 0; ///< Number of `sends` passed to QueueingServers.
    std::vector<Forward::AnswerCaller> answers;
    std::map<Forward::ExchangeId, Instant> answeredAt;
    std::vector<Forward::AttemptId> aborts;
    std::vector<Forward::ServerNotice> notices;
    std::vector<Forward::CallerGone> gone;
};

} // namespace Tests
