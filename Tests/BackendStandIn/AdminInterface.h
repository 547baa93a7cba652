#pragma once

#include "BackendStandIn/Connection.h"
#include "BackendStandIn/Fleet.h"
#include "BackendStandIn/Listener.h"

#include <map>
#include <memory>

namespace StandIn {

/// HTTP port through which tests change behaviour and read what happened:
/// GET /summary, GET /servers, GET /log?request_id=ID, POST /behaviour {"server"|"index"|"shard", "set"},
/// POST /documents (TOML), POST /reset.
class AdminInterface
{
public:
    AdminInterface(EventLoop &loop, Fleet &fleet, const std::string &address);

    Base::Result<void> open() { return listener_.open(); }

private:
    void accept(int socket);
    HttpResponse handle(const HttpRequest &request);
    HttpResponse changeBehaviour(const std::string &body);
    HttpResponse addDocument(const std::string &body);
    HttpResponse findExecutions(const std::string &query) const;

    EventLoop &loop_;
    Fleet &fleet_;
    Listener listener_;
    std::map<Connection *, std::shared_ptr<Connection>> connections_;
};

} // namespace StandIn
