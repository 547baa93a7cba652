#pragma once

#include "LibHttp/Server.h"

#include <atomic>
#include <memory>
#include <string>

namespace Services {

/// A backend server that answers each query at once with its own id, the shard and the query's body.
class FakeBackend
{
public:
    explicit FakeBackend(std::string serverId)
        : serverId_(std::move(serverId))
    {
        Http::ServerOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.threads = 8;
        options.handler = [this](const Http::Request &request) { return handle(request); };
        server_ = std::move(*Http::Server::create(std::move(options)));
    }

    const std::string &id() const { return serverId_; }
    std::string address() const { return server_->listenAddress(); }
    int queries() const { return queries_; }
    void setDraining() { draining_ = true; }

private:
    Http::Response handle(const Http::Request &request)
    {
        const std::string attempt(request.header("X-Attempt-Id"));
        if (request.path == "/status")
            return {
                200, {}, draining_ ? R"({"versions":[7],"draining":true,"load":0})" : R"({"versions":[7]})"};
        if (request.method != "POST")
            return {404, {}, {}};
        if (draining_)
            return {503, {{"X-Attempt-Id", attempt}, {"X-Reason", "draining"}, {"X-Run", "0"}}, {}};
        ++queries_;
        return {
            200,
            {{"X-Attempt-Id", attempt}, {"X-Index-Version", std::string(request.header("X-Index-Version"))}},
            request.path + " " + request.body};
    }

    std::string serverId_;
    std::atomic<int> queries_ {0};
    std::atomic<bool> draining_ {false};
    std::unique_ptr<Http::Server> server_;
};

} // namespace Services
