#include "Services/Entry/EntryMetrics.h"

#include <array>

namespace Services {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

struct StatisticMetric
{
    const char *name;
    const char *help;
    std::uint64_t Query::Statistics::*member;
};

using Statistics = Query::Statistics;

constexpr std::array<StatisticMetric, 15> StatisticMetrics {{
    {"daisyroute_queries_admitted_total", "Queries admitted.", &Statistics::admitted},
    {"daisyroute_queries_refused_total", "Queries refused before anything was sent.", &Statistics::refused},
    {"daisyroute_answers_complete_total", "Answers that cover all shards.", &Statistics::completeAnswers},
    {"daisyroute_answers_partial_total", "Answers that lack shards.", &Statistics::partialAnswers},
    {"daisyroute_queries_failed_total", "Admitted queries that ended with an error.", &Statistics::failures},
    {"daisyroute_first_attempts_total", "Sub-requests required by plans.", &Statistics::firstAttempts},
    {"daisyroute_hedges_total", "Hedges sent.", &Statistics::hedges},
    {"daisyroute_retries_total", "Retries charged to the budget.", &Statistics::retries},
    {"daisyroute_free_retries_total", "Retries of attempts proven not run.", &Statistics::freeRetries},
    {"daisyroute_hedges_won_total", "Hedges that answered first.", &Statistics::hedgesWon},
    {"daisyroute_budget_denials_total", "Hedges and retries withheld.", &Statistics::budgetDenials},
    {"daisyroute_cancellations_total", "Sub-requests cancelled.", &Statistics::cancellations},
    {"daisyroute_dropped_replies_total", "Late or duplicate replies.", &Statistics::droppedReplies},
    {"daisyroute_replans_total", "Queries planned again.", &Statistics::replans},
    {"daisyroute_ejections_total", "Backend servers ejected.", &Statistics::ejections},
}};

std::string outcomeOf(const Query::Completion &completion)
{
    if (const auto *answer = std::get_if<Query::Answer>(&completion))
        return answer->complete() ? "complete" : "partial";
    if (const auto *failure = std::get_if<Query::Failure>(&completion))
        return std::string(Base::errorName(failure->error.kind));
    return "recorded";
}

} // namespace

void EntryMetrics::queryEnded(const std::string &trafficClass, const std::string &tenant,
                              Base::Duration latency, const Query::Completion &completion)
{
    const Metrics::Labels labels {{"class", trafficClass}, {"tenant", tenant}};
    registry_->histogram("daisyroute_query_seconds", "Time from arrival to the answer.", labels)
        .record(latency);
    auto withOutcome = labels;
    withOutcome.emplace_back("outcome", outcomeOf(completion));
    registry_->counter("daisyroute_queries_total", "Queries by outcome.", withOutcome).add();
    if (const auto *answer = std::get_if<Query::Answer>(&completion)) {
        registry_->counter("daisyroute_shards_covered_total", "Shards covered by answers.", labels)
            .add(answer->results.size());
        registry_->counter("daisyroute_shards_lacking_total", "Shards missing from answers.", labels)
            .add(answer->lacking.size());
    }
}

void EntryMetrics::attemptEnded(const std::string &serverId, const Wire::ExecuteSubrequestReply &reply)
{
    const Metrics::Labels labels {{"server", serverId}};
    auto withOutcome = labels;
    withOutcome.emplace_back(
        "outcome", reply.ok ? "ok" : std::string(Base::errorName(Wire::fromMessage(reply.error).kind)));
    registry_->counter("daisyroute_attempts_total", "Attempts at owned servers by outcome.", withOutcome)
        .add();
    if (reply.serviceMicroseconds == 0)
        return;
    registry_->histogram("daisyroute_backend_queue_seconds", "Wait in the owner's queue.", labels)
        .record(Base::Duration(reply.queueMicroseconds));
    registry_->histogram("daisyroute_backend_service_seconds", "Time from dispatch to reply.", labels)
        .record(Base::Duration(reply.serviceMicroseconds));
}

void EntryMetrics::update(const Query::Statistics &statistics)
{
    for (const auto &metric : StatisticMetrics)
        registry_->counter(metric.name, metric.help).raiseTo(statistics.*metric.member);
}

void EntryMetrics::update(const Wire::ServerObservation &observation)
{
    const Metrics::Labels labels {{"server", observation.serverId}};
    registry_->gauge("daisyroute_backend_in_flight", "Attempts running.", labels).set(observation.inFlight);
    registry_->gauge("daisyroute_backend_queued", "Attempts queued.", labels).set(observation.queued);
    registry_->gauge("daisyroute_backend_slots", "Slots in use by the owner.", labels).set(observation.slots);
    registry_->gauge("daisyroute_backend_reachable", "1 when reachable.", labels)
        .set(observation.reachable ? 1 : 0);
    registry_->gauge("daisyroute_backend_draining", "1 without new work.", labels)
        .set(observation.draining ? 1 : 0);
    registry_->gauge("daisyroute_backend_reported_load", "Load by the server's own word.", labels)
        .set(observation.reportedLoad);
}

void EntryMetrics::updateProcess(Base::Duration leaseLeft, std::uint64_t revision, std::size_t ownedServers)
{
    registry_->gauge("daisyroute_lease_seconds", "Time left of the lease; negative when expired.")
        .set(static_cast<double>(leaseLeft.count()) / MicrosecondsPerSecond);
    registry_->gauge("daisyroute_revision", "Configuration revision in force.")
        .set(static_cast<double>(revision));
    registry_->gauge("daisyroute_owned_servers", "Backend servers owned.")
        .set(static_cast<double>(ownedServers));
}

} // namespace Services
