#pragma once

#include "LibBase/RandomSource.h"
#include "LibQuery/TestDocument.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// A world of backend servers and a control log around QueryCore that behaves at random: replies are lost,
/// duplicated, late and from other versions. It notes every broken promise of the core in violations().
class SessionModel
{
public:
    SessionModel(std::uint64_t seed, std::uint32_t replicas);

    /// Carries out the event that a random word stands for.
    void step(std::uint32_t word);
    /// Lets all open queries end and checks what must hold then.
    void finish();

    const std::vector<std::string> &violations() const { return violations_; }
    const Query::Statistics &statistics() const { return core_.statistics(); }

private:
    struct Attempt
    {
        Wire::ExecuteSubrequestRequest request;
        bool provenNotRun = false; ///< Told to the core while it waited for the attempt.
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
    void take(const Query::SendSubrequest &action);
    void take(const Query::CancelSubrequest &action) { attempts_.at(action.attemptId).cancelled = true; }
    void take(const Query::SendClaim &action) { claims_.push_back(action); }
    void take(const Query::SendRecordOutcome &action) { records_.push_back(action); }
    void take(const Query::CompleteQuery &action);
    void checkAnswer(const Query::Answer &answer);
    void checkNotRun(const std::string &requestId, const std::string &shard);
    void require(bool condition, const std::string &promise);

    DocumentShape shape_;
    TestDocument document_;
    Query::QueryCore core_;
    Base::RandomSource random_;
    Base::Instant now_ {};
    std::uint64_t version_ = 7;
    std::map<std::string, Attempt> attempts_;
    std::map<Query::CallerToken, Caller> callers_;
    std::set<std::string> delivered_; ///< Bodies given to the core.
    std::map<std::string, bool> heldClaims_; ///< Request id → whether its outcome is recorded.
    std::vector<Query::SendClaim> claims_;
    std::vector<Query::SendRecordOutcome> records_;
    std::uint64_t extraAttempts_ = 0;
    std::uint64_t firstAttempts_ = 0;
    std::vector<std::string> violations_;
};
