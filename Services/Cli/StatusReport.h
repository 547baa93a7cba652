#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Services {

/// What the control processes, registries and gateways say about the system, one view per process.
class StatusReport
{
public:
    /// Adds the status body of the control process at `address`.
    void add(const std::string &address, const nlohmann::json &status);

    /// Adds a control process that gave no status.
    void addSilent(const std::string &address, const std::string &reason);

    bool isHealthy() const { return problems().empty(); }
    nlohmann::json toJson() const;

    /// Lines for people; the last one is "healthy" or "unhealthy".
    std::string toText() const;

private:
    std::vector<std::string> problems() const;
    void findMemberProblems(const std::string &address, const nlohmann::json &status);
    static std::string describeProcess(const std::string &address, const nlohmann::json &status);
    void findLeaderProblems(const nlohmann::json &status);
    std::string describeSystem() const;

    std::vector<std::pair<std::string, nlohmann::json>> processes_;
    std::vector<std::string> problems_;
    bool hasGateways_ = false;
    nlohmann::json leader_; ///< Status of the leader; null when none was found.
};

} // namespace Services
