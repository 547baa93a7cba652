#include "Services/Cli/CommandTable.h"

namespace Services {

namespace {

using Settings::Command;
using Settings::Setting;

const Setting KeyFile {"key-file", &Settings::Text, "File with the secret shared by all processes.", "",
                       true};
const Setting LogLevel {"log-level", &Settings::LogLevelName, "Lowest level of log lines.", "info"};
const Setting DataCentre {"data-centre", &Settings::Name, "Data centre of this VM.", "", true};
const Setting Environment {"environment", &Settings::Name, "Environment as in its document.", "", true};
const Setting HttpAddress {"http-address", &Settings::Address, "Where callers and operators connect.", "",
                           true};
const Setting PeerAddress {"peer-address", &Settings::Address, "Where other daisyroute processes connect.",
                           "", true};
const Setting ControlHttp {"control-http-addresses", &Settings::AddressList,
                           "HTTP addresses of the control processes.", "", true};
const Setting Memory {"memory-megabytes", &Settings::Number,
                      "Memory that this process may use; 0 for no limit.", "0"};
const Setting Timeout {"timeout-ms", &Settings::Milliseconds, "Longest wait for one answer.", "10000"};
const Setting Json {"json", &Settings::Switch, "Prints JSON instead of lines for people."};

Command controlCommand()
{
    return {"control",
            "",
            "Runs a control process.",
            {{"node-id", &Settings::Name, "Name of this control node.", "", true},
             DataCentre,
             Environment,
             {"data-directory", &Settings::Text, "Directory of the log and the snapshots.", "", true},
             HttpAddress,
             PeerAddress,
             {"members", &Settings::MemberList,
              "All control nodes as id=peer address, this one included; not with --join."},
             {"join", &Settings::Switch, "Starts as a learner that an existing cluster adds."},
             {"repair", &Settings::Switch,
              "Sets the files of a damaged data directory aside first; only with --join."},
             Memory,
             KeyFile,
             LogLevel}};
}

Command entryCommand()
{
    return {
        "entry",
        "",
        "Runs an entry process.",
        {{"entry-id", &Settings::Name, "Name of this entry process.", "", true},
         DataCentre,
         Environment,
         HttpAddress,
         PeerAddress,
         {"control-addresses", &Settings::AddressList, "Peer addresses of the control processes.", "", true},
         {"vm-list-file", &Settings::Text, "Platform's list of live and leaving VMs."},
         {"caller-threads", &Settings::Threads, "Caller connections served at once.", "128"},
         Memory,
         KeyFile,
         LogLevel}};
}

/// Settings of the roles that read a settings file of their own.
const Setting SettingsFile {"config", &Settings::Text, "Settings file of this process (TOML).", "", true};
const Setting MetricsPort {"metrics-port", &Settings::Number, "Port of this VM's address for metrics."};

Command queryCommand()
{
    return {
        "query",
        "BODY",
        "Sends one query and prints its answer.",
        {{"entry-addresses", &Settings::AddressList, "HTTP addresses to ask for entry processes.", "", true},
         {"index", &Settings::Name, "Index to query.", "", true},
         {"class", &Settings::Name, "Traffic class.", "", true},
         {"tenant", &Settings::Name, "Tenant.", "", true},
         {"deadline-ms", &Settings::Milliseconds, "Deadline; the class's without it."},
         {"request-id", &Settings::Text, "Id of the request; random without it."},
         {"non-idempotent", &Settings::Switch, "The request must run at most once; needs --shard."},
         {"shard", &Settings::Name, "The one shard of a non-idempotent request."},
         {"created-at-ms", &Settings::Number,
          "Unix time of the non-idempotent request id; now without it. Give it when you resend."},
         Timeout,
         Json}};
}

Command explainCommand()
{
    return {"explain",
            "[(REQUEST FILE...)]",
            "Shows what the logs of gateways and registries say about one request; with --gateway, what a "
            "running gateway would do now with a request, without sending anything.",
            {{"gateway", &Settings::Address, "Metrics address of a running gateway."},
             {"key-file", &Settings::Text, "File with the deployment's cluster key; needed with --gateway."},
             {"host", &Settings::HostName, "Host of the request."},
             {"path", &Settings::RequestPath, "Path of the request."},
             {"caller-key-file", &Settings::Text,
              "File with the caller's key, \"-\" for standard input; without it the request has no key."},
             {"size", &Settings::Number, "Bytes of the request's body; 0 without it."},
             {"format", &Settings::OutputFormat, "text or json.", "text"},
             Timeout}};
}

std::vector<Command> buildTable()
{
    return {
        controlCommand(),
        entryCommand(),
        {"gateway", "", "Forwards callers' requests by routes.", {SettingsFile, MetricsPort}},
        {"registry",
         "",
         "Keeps the routes and the list of servers for the gateways.",
         {SettingsFile, MetricsPort}},
        explainCommand(),
        {"check-settings", "FILE", "Reports all mistakes of a settings file of a gateway or registry.", {}},
        {"validate", "FILE...", "Reports all mistakes of documents.", {Json}},
        {"diff",
         "FILE [OTHER]",
         "Says what FILE would change; with OTHER, what OTHER would change after FILE.",
         {{"control-http-addresses", &Settings::AddressList,
           "HTTP addresses of the control processes; not needed with OTHER."},
          {"key-file", &Settings::Text, "File with the shared secret; not needed with OTHER."},
          Timeout,
          Json}},
        {"submit", "FILE", "Stores a document and prints its hash.", {ControlHttp, KeyFile, Timeout, Json}},
        {"promote",
         "HASH",
         "Puts a stored document into effect as a new revision.",
         {ControlHttp,
          KeyFile,
          {"base-revision", &Settings::Number, "Revision that is in effect now; 0 for none.", "", true},
          {"change-id", &Settings::Text,
           "Id of this change; random without it. Resend with the same id after a lost reply."},
          {"timeout-ms", &Settings::Milliseconds, "Longest wait for one answer.", "30000"},
          Json}},
        {"status",
         "",
         "Shows the state of the system; exits with 1 when it is unhealthy.",
         {ControlHttp, KeyFile, Timeout, Json}},
        {"entries",
         "",
         "Lists the entry processes that callers may use.",
         {{"entry-addresses", &Settings::AddressList, "HTTP addresses of any processes.", "", true},
          Timeout,
          Json}},
        queryCommand()};
}

} // namespace

const std::vector<Command> &commandTable()
{
    static const std::vector<Command> Table = buildTable();
    return Table;
}

} // namespace Services
