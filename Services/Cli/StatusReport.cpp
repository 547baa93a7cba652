#include "Services/Cli/StatusReport.h"

#include "Services/Cli/JsonFields.h"

#include <algorithm>
#include <fmt/format.h>

namespace Services {

namespace {

using nlohmann::json;

std::size_t unassignedShares(const json &status)
{
    const auto shares = listOf(status, "shares");
    return static_cast<std::size_t>(std::count_if(
        shares.begin(), shares.end(), [](const json &share) { return textOf(share, "entry").empty(); }));
}

std::string describeRevision(const json &status, const char *key)
{
    const auto revision = status.value(key, json());
    if (!revision.is_object())
        return fmt::format("{}: none\n", key);
    return fmt::format("{}: revision {} hash {} change {}\n", key, textOf(revision, "revision"),
                       textOf(revision, "hash"), textOf(revision, "change_id"));
}

std::string describeEntry(const json &entry)
{
    return fmt::format("entry {} {} at {} in {}, lease {}\n", textOf(entry, "id"), textOf(entry, "state"),
                       textOf(entry, "address"), textOf(entry, "data_centre"),
                       entry.value("lease_live", false) ? "live" : "not live");
}

/// Which program gave the status.
std::string kindOf(const json &status)
{
    return status.contains("kind") ? textOf(status, "kind") : "control";
}

std::string describeEvacuated(const json &status)
{
    std::string names;
    for (const auto &name : listOf(status, "evacuated_data_centres"))
        names += (names.empty() ? "" : ",") + textOf(name);
    return names.empty() ? "none" : names;
}

} // namespace

void StatusReport::addSilent(const std::string &address, const std::string &reason)
{
    processes_.emplace_back(address, nullptr);
    problems_.push_back(fmt::format("Process at {} gives no status: {}", address, reason));
}

void StatusReport::add(const std::string &address, const json &status)
{
    processes_.emplace_back(address, status);
    findMemberProblems(address, status);
    hasGateways_ = hasGateways_ || kindOf(status) == "gateway";
    if (status.value("leads", false)) {
        leader_ = status;
        if (kindOf(status) == "control")
            findLeaderProblems(status);
    }
}

void StatusReport::findMemberProblems(const std::string &address, const json &status)
{
    const auto before = problems_.size();
    const auto node = fmt::format("{} at {}", textOf(status, "node"), address);
    if (status.value("isolated", false))
        problems_.push_back(fmt::format("{} is isolated since {} ms.", node, textOf(status, "isolated_ms")));
    for (const auto &member : listOf(status, "members")) {
        if (member.value("unheard", false))
            problems_.push_back(fmt::format("{} has not heard from {} at {} for {} ms.", node,
                                            textOf(member, "id"), textOf(member, "address"),
                                            textOf(member, "silent_ms")));
    }
    if (problems_.size() == before && !status.value("healthy", false))
        problems_.push_back(fmt::format("{} reports that it is not healthy.", node));
}

void StatusReport::findLeaderProblems(const json &status)
{
    for (const auto &entry : listOf(status, "entries")) {
        if (!entry.value("lease_live", false))
            problems_.push_back(fmt::format("Entry process {} has no live lease.", textOf(entry, "id")));
    }
    if (const auto count = unassignedShares(status); count > 0)
        problems_.push_back(fmt::format("{} backend servers have no entry process.", count));
}

std::vector<std::string> StatusReport::problems() const
{
    auto all = problems_;
    const bool onlyGateways =
        hasGateways_ && std::all_of(processes_.begin(), processes_.end(), [](const auto &process) {
            return kindOf(process.second) == "gateway";
        });
    if (!leader_.is_object() && !onlyGateways)
        all.emplace_back("No control process leads.");
    return all;
}

json StatusReport::toJson() const
{
    auto processes = json::array();
    for (const auto &[address, status] : processes_)
        processes.push_back({{"address", address}, {"status", status}});
    return {{"healthy", isHealthy()}, {"problems", problems()}, {"processes", processes}};
}

std::string StatusReport::describeSystem() const
{
    auto text = describeRevision(leader_, "production") + describeRevision(leader_, "proposed");
    for (const auto &entry : listOf(leader_, "entries"))
        text += describeEntry(entry);
    return text
           + fmt::format("shares: {} backend servers, {} without entry process\n",
                         listOf(leader_, "shares").size(), unassignedShares(leader_));
}

std::string StatusReport::describeProcess(const std::string &address, const json &status)
{
    const auto kind = kindOf(status);
    auto text = fmt::format("{} {} at {}: ", kind, textOf(status, "node"), address);
    if (kind == "gateway")
        return text
               + fmt::format("configuration {}, evacuated {}, {} servers evacuated, {} cold\n",
                             textOf(status, "configuration_version"), describeEvacuated(status),
                             textOf(status, "evacuated_servers"), textOf(status, "cold_servers"));
    text += fmt::format("{}, term {}, applied index {}", textOf(status, "role"), textOf(status, "term"),
                        textOf(status, "applied_index"));
    if (kind == "registry")
        text += fmt::format(", configuration {}, evacuated {}", textOf(status, "configuration_version"),
                            describeEvacuated(status));
    return text + '\n';
}

std::string StatusReport::toText() const
{
    std::string text;
    for (const auto &[address, status] : processes_) {
        if (status.is_null())
            text += fmt::format("process at {} gives no status\n", address);
        else
            text += describeProcess(address, status);
    }
    if (leader_.is_object() && kindOf(leader_) == "control")
        text += describeSystem();
    for (const auto &problem : problems())
        text += fmt::format("problem: {}\n", problem);
    return text + (isHealthy() ? "healthy\n" : "unhealthy\n");
}

} // namespace Services
