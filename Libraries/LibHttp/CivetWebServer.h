#pragma once

#include "LibHttp/BodyMemory.h"
#include "LibHttp/Server.h"

#include <civetweb.h>
#include <condition_variable>
#include <mutex>

namespace Http {

/// Server over CivetWeb's thread pool; one thread serves one connection until it closes.
class CivetWebServer final : public Server
{
public:
    explicit CivetWebServer(ServerOptions options);
    ~CivetWebServer() override;
    CivetWebServer(const CivetWebServer &) = delete;
    CivetWebServer &operator=(const CivetWebServer &) = delete;

    Base::Result<void> start();
    std::string listenAddress() const override { return listenAddress_; }
    void shutDown() override;

private:
    static int beginRequest(mg_connection *connection);
    static int sendError(mg_connection *connection, int status, const char *message);
    static int dropLogMessage(const mg_connection *connection, const char *message);

    void serve(mg_connection *connection);
    Response respond(mg_connection *connection, const mg_request_info &info, bool &closes);
    Base::Result<std::string> readBody(mg_connection *connection, const mg_request_info &info,
                                       BodyMemory::Charge &charge) const;
    Response callHandler(const Request &request) const;
    bool enterRequest();
    void leaveRequest();

    ServerOptions options_;
    BodyMemory bodies_;
    std::string listenAddress_;
    mg_context *context_ = nullptr;
    std::mutex mutex_;
    std::condition_variable idle_;
    int activeRequests_ = 0;
    bool shuttingDown_ = false;
};

} // namespace Http
