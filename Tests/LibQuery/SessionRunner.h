#pragma once

#include "LibQuery/TestDocument.h"

#include <map>
#include <optional>
#include <sstream>
#include <string>

/// Runs an event script against QueryCore on logical time and traces each line with the actions it causes.
/// Arguments after the command are key=value pairs; Tests/LibQuery/Golden shows all commands.
class SessionRunner
{
public:
    /// Returns the trace of the whole script.
    std::string run(std::istream &script);

private:
    using Arguments = std::map<std::string, std::string>;
    using Handler = void (SessionRunner::*)(const Arguments &);

    static const std::map<std::string, Handler> &handlers();
    void documentCommand(const Arguments &arguments);
    void leaseCommand(const Arguments &arguments);
    void observeCommand(const Arguments &arguments);
    void warmCommand(const Arguments &arguments);
    void queryCommand(const Arguments &arguments);
    void replyCommand(const Arguments &arguments);
    void failCommand(const Arguments &arguments);
    void claimCommand(const Arguments &arguments);
    void recordCommand(const Arguments &arguments);
    void goneCommand(const Arguments &arguments);
    void shutdownCommand(const Arguments &arguments);
    void advanceCommand(const Arguments &arguments);

    void reply(const std::string &attempt, const Arguments &arguments);
    void printActions();
    void print(const Query::SendSubrequest &action);
    void print(const Query::CancelSubrequest &action);
    void print(const Query::SendClaim &action);
    void print(const Query::SendRecordOutcome &action);
    void print(const Query::CompleteQuery &action);

    Base::Instant now_ {};
    std::optional<TestDocument> document_;
    Query::QueryCore core_ {{"e1", 1, 7}};
    std::map<std::string, std::uint64_t> openAttempts_; ///< Attempt id → requested version.
    std::ostringstream trace_;
};
