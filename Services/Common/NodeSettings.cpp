#include "Services/Common/NodeSettings.h"

#include "LibBase/AddressText.h"
#include "LibConfiguration/TableReader.h"
#include "LibSettings/Lists.h"

#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <tuple>

namespace Services {

namespace {

using Configuration::TableReader;

constexpr std::string_view AcceptedAddress = "an address ip:port, or an empty string";
constexpr std::uint32_t HighestPort = 65535;

/// What a registry takes over while it runs.
constexpr std::tuple ChangeableAtRegistry {
    &NodeSettings::seeds,          &NodeSettings::lostVmsTolerated, &NodeSettings::catchUpTime,
    &NodeSettings::shutdownGrace,  &NodeSettings::allowanceWindow,  &NodeSettings::allowanceOverage,
    &NodeSettings::allowanceSlack, &NodeSettings::coldOverage,      &NodeSettings::coldSlack,
};

std::string address(TableReader &table, std::string_view key)
{
    auto text = table.optionalText(key);
    if (!text.empty() && !Base::parseAddress(text)) {
        table.reportKey(key, AcceptedAddress);
        text.clear();
    }
    return text;
}

/// Addresses separated by commas.
std::vector<std::string> addresses(TableReader &table, std::string_view key)
{
    const auto text = table.optionalText(key);
    if (text.empty())
        return {};
    auto list = Settings::splitList(text);
    for (const auto &item : list) {
        if (!Base::parseAddress(item))
            table.reportKey(key, "addresses ip:port, separated by commas");
    }
    return list;
}

/// A number that the platform fills in as a text, which is empty where it has none.
double numberText(TableReader &table, std::string_view key, const Configuration::Range<double> &range)
{
    const auto text = table.optionalText(key);
    if (text.empty())
        return *range.fallback;
    double value = 0.0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (isNumber && value >= range.lowest && value <= range.highest)
        return value;
    table.reportKey(
        key, fmt::format("a number from {} to {} as text, or an empty string", range.lowest, range.highest));
    return *range.fallback;
}

/// "true", or an empty text or "false" where the platform has no such flag.
bool flagText(TableReader &table, std::string_view key)
{
    const auto text = table.optionalText(key);
    if (!text.empty() && text != "true" && text != "false")
        table.reportKey(key, "\"true\", \"false\" or an empty string");
    return text == "true";
}

Base::Duration duration(double seconds)
{
    return Base::Duration(static_cast<Base::Duration::rep>(seconds * 1e6));
}

NodeSettings readSettings(TableReader &table)
{
    NodeSettings settings;
    settings.nodeId = table.text("node", "a name that no other VM has").text;
    settings.dataCentre = table.text("data_centre", "the name of a data centre").text;
    settings.ip = table.text("ip", "an ip address").text;
    settings.listenIp = table.optionalText("listen_ip");
    if (settings.listenIp.empty())
        settings.listenIp = settings.ip;
    settings.callerAddress = address(table, "caller_address");
    settings.readinessAddress = address(table, "readiness_address");
    settings.lookupAddress = address(table, "lookup_address");
    settings.operatorAddress = address(table, "operator_address");
    const auto firstPort = table.integer("first_peer_port", {1, HighestPort - 1});
    settings.registryPort = firstPort;
    settings.gatewayPort = firstPort + 1;
    settings.clusterKey = table.text("cluster_key", "a text that all processes share").text;
    settings.seeds = addresses(table, "seeds");
    settings.firstStart = table.boolean("first_start", false);
    settings.dataDirectory = table.optionalText("data_directory");
    settings.serverListAddress = address(table, "server_list_address");
    settings.serverListCallsPerSecond = table.number("server_list_calls_per_second", {0.1, 1e6, 1.0});
    settings.processorShare = table.number("processor_share", {0.001, 1024.0, 1.0});
    settings.linkMegabits = table.number("link_megabits", {0.001, 1e6, 1000.0});
    settings.lookupMaxAge = duration(table.number("lookup_max_age_s", {0.0, 3600.0, 2.0}));
    settings.shutdownGrace = duration(table.number("shutdown_grace_s", {0.0, 3600.0, 6.0}));
    settings.extraLoadRatio = table.number("extra_load_ratio", {0.0, 10.0, 0.0});
    settings.extraLoadSlack = table.number("extra_load_slack", {0.0, 1e9, 0.0});
    settings.serverDrain = Base::Duration(
        static_cast<Base::Duration::rep>(table.number("server_drain_ms", {0.0, 3600e3, 3000.0}) * 1e3));
    settings.catchUpTime = duration(table.number("catch_up_s", {0.0, 3600.0, 4.0}));
    settings.lostVmsTolerated = table.integer("lost_vms_tolerated", {0, 100, 1});
    const bool keyRemovalIsBounded = flagText(table, "key_removal_is_bounded");
    settings.keyRemovalBound = duration(numberText(table, "key_removal_bound_ms", {0.0, 3600e3, 0.0}) / 1e3);
    if (!keyRemovalIsBounded)
        settings.keyRemovalBound = Base::Duration::zero();
    else if (settings.keyRemovalBound <= Base::Duration::zero())
        table.reportKey("key_removal_bound_ms",
                        "a number above 0 as text, because key_removal_is_bounded is \"true\"");
    settings.allowanceWindow = duration(numberText(table, "allowance_window_s", {0.0, 3600.0, 0.0}));
    settings.allowanceOverage = numberText(table, "allowance_overage", {0.0, 10.0, 0.0});
    settings.allowanceSlack = numberText(table, "allowance_slack", {0.0, 1e9, 0.0});
    settings.coldOverage = numberText(table, "cold_overage", {0.0, 100.0, 1.0});
    settings.coldSlack = numberText(table, "cold_slack", {0.0, 1e9, 0.0});
    settings.memoryMegabytes = table.number("memory_megabytes", {0.0, 1e9, 0.0});
    settings.maxDescriptors = table.integer("max_descriptors", {0, 10'000'000, 0});
    settings.learnServerLimits = table.boolean("learn_server_limits", false);
    settings.shareCallersByLoad = table.boolean("share_callers_by_load", false);
    table.refuseUnknownKeys();
    return settings;
}

} // namespace

std::string NodeSettings::registryPeerAddress(std::string_view seed) const
{
    const auto parts = Base::parseAddress(seed);
    return parts ? fmt::format("{}:{}", parts->ip, registryPort) : std::string();
}

std::string NodeSettings::registryPeerAddress() const
{
    return fmt::format("{}:{}", ip, registryPort);
}

std::string NodeSettings::registryListenAddress() const
{
    return fmt::format("{}:{}", listenIp, registryPort);
}

std::string NodeSettings::gatewayListenAddress() const
{
    return fmt::format("{}:{}", listenIp, gatewayPort);
}

void NodeSettings::takeOverForRegistry(const NodeSettings &newer)
{
    std::apply([&](auto... member) { ((this->*member = newer.*member), ...); }, ChangeableAtRegistry);
}

Wire::GatewayRecord NodeSettings::gatewayRecord(std::uint64_t incarnation, Wire::GatewayState state) const
{
    return {nodeId, incarnation, callerAddress, dataCentre, state, processorShare};
}

Base::Result<NodeSettings> parseNodeSettings(std::string_view text)
{
    try {
        const auto document = toml::parse(text);
        std::vector<Configuration::Mistake> mistakes;
        TableReader reader(document, {}, mistakes);
        auto settings = readSettings(reader);
        if (mistakes.empty())
            return settings;
        std::vector<std::string> lines;
        lines.reserve(mistakes.size());
        for (const auto &mistake : mistakes)
            lines.push_back(Configuration::describe(mistake));
        return Base::fail(Base::ErrorKind::SettingInvalid, fmt::format("{}", fmt::join(lines, "\n")));
    } catch (const toml::parse_error &error) {
        return Base::fail(Base::ErrorKind::SettingInvalid,
                          fmt::format("line {}: {}", error.source().begin.line, error.description()));
    }
}

Base::Result<NodeSettings> readNodeSettings(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return Base::fail(Base::ErrorKind::SettingInvalid, path + ": the file cannot be read");
    std::ostringstream content;
    content << file.rdbuf();
    return parseNodeSettings(content.str());
}

} // namespace Services
