#include "LibQuery/SessionRunner.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace {

std::string stringArgument(const std::map<std::string, std::string> &arguments, const std::string &key,
                           const std::string &fallback)
{
    const auto entry = arguments.find(key);
    return entry == arguments.end() ? fallback : entry->second;
}

std::uint64_t numberArgument(const std::map<std::string, std::string> &arguments, const std::string &key,
                             std::uint64_t fallback)
{
    return std::stoull(stringArgument(arguments, key, std::to_string(fallback)));
}

Base::ErrorKind errorKindFromName(const std::string &name)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(Base::ErrorKind::Count); ++index) {
        const auto kind = static_cast<Base::ErrorKind>(index);
        if (Base::errorName(kind) == name)
            return kind;
    }
    throw std::invalid_argument("unknown error kind " + name);
}

std::vector<std::uint64_t> versionList(const std::string &text)
{
    std::vector<std::uint64_t> versions;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        versions.push_back(std::stoull(item));
    return versions;
}

} // namespace

const std::map<std::string, SessionRunner::Handler> &SessionRunner::handlers()
{
    static const std::map<std::string, Handler> Handlers {
        {"document", &SessionRunner::documentCommand}, {"lease", &SessionRunner::leaseCommand},
        {"observe", &SessionRunner::observeCommand},   {"warm", &SessionRunner::warmCommand},
        {"query", &SessionRunner::queryCommand},       {"reply", &SessionRunner::replyCommand},
        {"fail", &SessionRunner::failCommand},         {"claim", &SessionRunner::claimCommand},
        {"record", &SessionRunner::recordCommand},     {"gone", &SessionRunner::goneCommand},
        {"shutdown", &SessionRunner::shutdownCommand}, {"advance", &SessionRunner::advanceCommand}};
    return Handlers;
}

std::string SessionRunner::run(std::istream &script)
{
    for (std::string line; std::getline(script, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream stream(line);
        std::string command;
        stream >> command;
        Arguments arguments;
        for (std::string item; stream >> item;) {
            const auto split = std::min(item.find('='), item.size());
            arguments[item.substr(0, split)] = split < item.size() ? item.substr(split + 1) : "";
        }
        trace_ << "> " << line << '\n';
        (this->*handlers().at(command))(arguments);
        printActions();
    }
    return trace_.str();
}

void SessionRunner::documentCommand(const Arguments &arguments)
{
    DocumentShape shape;
    shape.revision = numberArgument(arguments, "revision", 1);
    shape.shards = static_cast<std::uint32_t>(numberArgument(arguments, "shards", 3));
    shape.replicas = static_cast<std::uint32_t>(numberArgument(arguments, "replicas", 2));
    shape.maxQueries = static_cast<std::uint32_t>(numberArgument(arguments, "max", 64));
    document_.emplace(shape);
    document_->install(now_, core_);
}

void SessionRunner::leaseCommand(const Arguments &arguments)
{
    core_.leaseExtended(now_, now_ + Base::milliseconds(numberArgument(arguments, "ms", 0)));
}

void SessionRunner::observeCommand(const Arguments &arguments)
{
    const auto versions = versionList(stringArgument(arguments, "versions", ""));
    if (!arguments.contains("server"))
        return document_->observe(now_, core_, versions);
    auto observation = document_->healthy(arguments.at("server"), versions);
    observation.reachable = !arguments.contains("unreachable");
    observation.draining = arguments.contains("draining");
    observation.queued = static_cast<std::uint32_t>(numberArgument(arguments, "queued", 0));
    document_->observe(now_, core_, observation);
}

void SessionRunner::warmCommand(const Arguments &arguments)
{
    for (std::uint64_t count = numberArgument(arguments, "queries", 100); count > 0; --count) {
        core_.acceptQuery(now_, makeQuery(1000000 + count));
        const auto actions = core_.takeActions();
        now_ += Base::milliseconds(numberArgument(arguments, "ms", 5));
        for (const auto &action : actions) {
            const auto &request = std::get<Query::SendSubrequest>(action).request;
            Wire::ExecuteSubrequestReply reply;
            reply.attemptId = request.attemptId;
            reply.ok = true;
            reply.indexVersion = request.indexVersion;
            core_.subrequestReplied(now_, reply);
        }
        core_.takeActions();
    }
}

void SessionRunner::queryCommand(const Arguments &arguments)
{
    auto query =
        makeQuery(numberArgument(arguments, "token", 1), stringArgument(arguments, "class", "steady"));
    query.requestId = stringArgument(arguments, "id", query.requestId);
    query.tenant = stringArgument(arguments, "tenant", query.tenant);
    query.idempotent = !arguments.contains("once");
    query.shard = stringArgument(arguments, "shard", "");
    query.body = stringArgument(arguments, "body", query.body);
    if (arguments.contains("deadline"))
        query.deadline = Base::milliseconds(numberArgument(arguments, "deadline", 0));
    core_.acceptQuery(now_, query);
}

void SessionRunner::replyCommand(const Arguments &arguments)
{
    if (!arguments.contains("all"))
        return reply("e1.1." + arguments.at("attempt"), arguments);
    const auto attempts = openAttempts_;
    for (const auto &[attempt, version] : attempts)
        reply(attempt, arguments);
}

void SessionRunner::reply(const std::string &attempt, const Arguments &arguments)
{
    Wire::ExecuteSubrequestReply reply;
    reply.attemptId = attempt;
    reply.ok = !arguments.contains("error");
    reply.notRun = arguments.contains("notrun");
    if (!reply.ok)
        reply.error = Wire::toMessage({errorKindFromName(arguments.at("error")), ""});
    reply.indexVersion = numberArgument(arguments, "version", openAttempts_[attempt]);
    reply.body = stringArgument(arguments, "body", "found");
    reply.queueMicroseconds = static_cast<std::int64_t>(numberArgument(arguments, "queue", 0) * 1000);
    openAttempts_.erase(attempt);
    core_.subrequestReplied(now_, reply);
    printActions();
}

void SessionRunner::failCommand(const Arguments &arguments)
{
    const auto attempt = "e1.1." + arguments.at("attempt");
    openAttempts_.erase(attempt);
    core_.subrequestFailed(now_, attempt, {errorKindFromName(arguments.at("error")), ""});
}

void SessionRunner::claimCommand(const Arguments &arguments)
{
    const auto queryId = numberArgument(arguments, "query", 1);
    if (arguments.contains("error"))
        return core_.claimFailed(now_, queryId, {errorKindFromName(arguments.at("error")), ""});
    static const std::map<std::string, Wire::ClaimState> States {
        {"granted", Wire::ClaimState::Granted},
        {"in-progress", Wire::ClaimState::InProgress},
        {"recorded", Wire::ClaimState::Recorded},
        {"unknown", Wire::ClaimState::OutcomeUnknown}};
    Wire::ClaimRequestReply reply;
    reply.state = States.at(arguments.at("state"));
    reply.outcome = {200, stringArgument(arguments, "body", "")};
    core_.claimReplied(now_, queryId, reply);
}

void SessionRunner::recordCommand(const Arguments &arguments)
{
    const auto queryId = numberArgument(arguments, "query", 1);
    if (arguments.contains("error"))
        return core_.outcomeFailed(now_, queryId, {errorKindFromName(arguments.at("error")), ""});
    core_.outcomeReplied(now_, queryId, {!arguments.contains("refused")});
}

void SessionRunner::goneCommand(const Arguments &arguments)
{
    core_.callerGone(now_, numberArgument(arguments, "token", 1));
}

void SessionRunner::shutdownCommand(const Arguments &)
{
    core_.shutdownStarted(now_);
}

void SessionRunner::advanceCommand(const Arguments &arguments)
{
    const auto target = now_ + Base::milliseconds(numberArgument(arguments, "ms", 0));
    for (auto due = core_.nextWake(); due && *due <= target; due = core_.nextWake()) {
        now_ = std::max(now_, *due);
        core_.tick(now_);
        printActions();
    }
    now_ = target;
}

void SessionRunner::printActions()
{
    for (const auto &action : core_.takeActions()) {
        trace_ << fmt::format("{:10.3f} ", Base::toMilliseconds(now_.time_since_epoch()));
        std::visit([this](const auto &value) { print(value); }, action);
    }
}

void SessionRunner::print(const Query::SendSubrequest &action)
{
    const auto &request = action.request;
    openAttempts_[request.attemptId] = request.indexVersion;
    trace_ << fmt::format("send {} to {} via {}, version {}, revision {}, {} us\n", request.attemptId,
                          request.serverId, action.ownerEntryId, request.indexVersion, request.revision,
                          request.budgetMicroseconds);
}

void SessionRunner::print(const Query::CancelSubrequest &action)
{
    openAttempts_.erase(action.attemptId);
    trace_ << fmt::format("cancel {} via {}\n", action.attemptId, action.ownerEntryId);
}

void SessionRunner::print(const Query::SendClaim &action)
{
    trace_ << fmt::format("claim {} for query {}, digest {}\n", action.request.requestId, action.queryId,
                          action.request.bodyDigest.substr(0, 8));
}

void SessionRunner::print(const Query::SendRecordOutcome &action)
{
    trace_ << fmt::format("record {} for query {}, {} {}\n", action.request.requestId, action.queryId,
                          action.request.notRun ? "not run"
                                                : std::to_string(action.request.outcome.httpStatus),
                          action.request.outcome.body);
}

void SessionRunner::print(const Query::CompleteQuery &action)
{
    const auto rendered = Query::renderCompletion(action.completion);
    trace_ << fmt::format("complete {} {} {}\n", action.token, rendered.httpStatus, rendered.body);
}
