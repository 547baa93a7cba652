#pragma once

#include "LibBase/RandomSource.h"
#include "LibQuery/TestDocument.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// Drives QueryCore with random events of simulated backend servers and a simulated control log: replies are
/// lost, duplicated, late and from other versions. violations() lists every violated invariant.
class SessionModel
{
public:
    SessionModel(std::uint64_t seed, std::uint32_t replicas);

    /// Performs the event encoded by a random word.
    void step(std::uint32_t word);
    /// Runs all open queries to their end and checks the final invariants.
    void finish();

    const std::vector<std::string> &violations() const { return violations_; }
    const Query::Statistics &statistics() const { return core_.statistics(); }

private:
    struct Attempt
    {
        Wire::ExecuteSubrequestRequest request;
        bool provenNotRun = false; ///< Reported to the core while the attempt was open.
        bool cancelled = false;
        bool settled = false; ///< A final reply or failure was given.
    };

    struct Caller
    {
        std::string requestId;
        bool idempotent = true;
        std::uint32_t completions = 0;
        bool gone = false;
    };

    void sendQuery(std::uint32_t word);
    void answerAttempt(std::uint32_t word);
    void observeServer(std::uint32_t word);
    void answerControl(std::uint32_t word);
    void answerClaim(const Query::SendClaim &claim, std::uint32_t choice);
    void advance(Base::Duration span);
    void drain();
    void handle(const Query::SendSubrequest &action);
    void handle(const Query::CancelSubrequest &action) { attempts_.at(action.attemptId).cancelled = true; }
    void handle(const Query::SendClaim &action) { claims_.push_back(action); }
    void handle(const Query::SendRecordOutcome &action) { records_.push_back(action); }
    void handle(const Query::CompleteQuery &action);
    void checkAnswer(const Query::Answer &answer);
    void checkNotRun(const std::string &requestId, const std::string &shard);
    void require(bool condition, const std::string &invariant);

    DocumentShape shape_;
    TestDocument document_;
    Query::QueryCore core_;
    Base::RandomSource random_;
    Base::Instant now_ {};
    std::uint64_t version_ = 7;
    std::map<std::string, Attempt> attempts_;
    std::map<Query::CallerToken, Caller> callers_;
    std::set<std::string> deliveredBodies_; ///< Bodies given to the core.
    std::map<std::string, bool> heldClaims_; ///< Request id → whether its outcome is recorded.
    std::vector<Query::SendClaim> claims_;
    std::vector<Query::SendRecordOutcome> records_;
    std::uint64_t extraAttempts_ = 0;
    std::uint64_t firstAttempts_ = 0;
    std::vector<std::string> violations_;
};
