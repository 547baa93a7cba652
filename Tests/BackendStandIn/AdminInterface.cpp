#include "BackendStandIn/AdminInterface.h"

#include "LibConfiguration/DocumentParser.h"

namespace StandIn {

namespace {

HttpResponse jsonResponse(const nlohmann::json &body)
{
    return {200, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

HttpResponse refused(const std::string &reason)
{
    return {400, {}, reason + "\n"};
}

} // namespace

AdminInterface::AdminInterface(EventLoop &loop, Fleet &fleet, const std::string &address)
    : loop_(loop)
    , fleet_(fleet)
    , listener_(loop, address, [this](int socket) { accept(socket); })
{
}

void AdminInterface::accept(int socket)
{
    auto connection = std::make_shared<Connection>(
        loop_, socket,
        [this](const std::shared_ptr<Connection> &from, const HttpRequest &request) {
            from->respond(handle(request));
        },
        [this](Connection &closed) { connections_.erase(&closed); });
    connections_[connection.get()] = connection;
    connection->start(Base::Duration(0));
}

HttpResponse AdminInterface::handle(const HttpRequest &request)
{
    const auto call = request.method + " " + request.path;
    if (call == "GET /summary")
        return jsonResponse(fleet_.summarize());
    if (call == "GET /servers")
        return jsonResponse(fleet_.describeServers());
    if (call == "GET /log")
        return findExecutions(request.query);
    if (call == "POST /behaviour")
        return changeBehaviour(request.body);
    if (call == "POST /documents")
        return addDocument(request.body);
    if (call != "POST /reset")
        return {404, {}, "unknown call " + call + "\n"};
    fleet_.reset();
    return {200, {}, {}};
}

HttpResponse AdminInterface::findExecutions(const std::string &query) const
{
    constexpr std::string_view Prefix = "request_id=";
    if (!query.starts_with(Prefix))
        return refused("request_id is missing");
    return jsonResponse(fleet_.log().find(query.substr(Prefix.size())));
}

HttpResponse AdminInterface::changeBehaviour(const std::string &body)
{
    const auto change = nlohmann::json::parse(body, nullptr, false);
    if (!change.is_object() || !change.contains("set") || !change["set"].is_object())
        return refused(
            "the body must be {\"server\", \"index\" or \"shard\": name, \"set\": {field: value}}");
    const auto count = fleet_.change(change, change["set"]);
    if (!count)
        return refused(count.error().detail);
    return jsonResponse({{"changed", *count}});
}

HttpResponse AdminInterface::addDocument(const std::string &body)
{
    const auto outcome = Configuration::parseDocument(body);
    if (!outcome.document)
        return refused(Configuration::describe(outcome.mistakes.front()));
    const auto added = fleet_.add(*outcome.document);
    return added ? HttpResponse {} : refused(added.error().detail);
}

} // namespace StandIn
