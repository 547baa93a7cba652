#pragma once

#include "LibQuery/TestDocument.h"

#include <map>
#include <optional>
#include <sstream>
#include <string>

/// Runs an event script against QueryCore on logical time and prints each line with the actions it causes.
/// Words after the command are key=value pairs; Tests/LibQuery/Golden shows all commands.
class SessionRunner
{
public:
    /// Returns the trace of the whole script.
    std::string run(std::istream &script);

private:
    using Words = std::map<std::string, std::string>;
    using Handler = void (SessionRunner::*)(const Words &);

    static const std::map<std::string, Handler> &handlers();
    void documentCommand(const Words &words);
    void leaseCommand(const Words &words);
    void observeCommand(const Words &words);
    void warmCommand(const Words &words);
    void queryCommand(const Words &words);
    void replyCommand(const Words &words);
    void failCommand(const Words &words);
    void claimCommand(const Words &words);
    void recordCommand(const Words &words);
    void goneCommand(const Words &words);
    void shutdownCommand(const Words &words);
    void advanceCommand(const Words &words);

    void reply(const std::string &attempt, const Words &words);
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
