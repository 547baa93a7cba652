#include "LibConfiguration/IndexReader.h"

#include "LibBase/AddressText.h"

namespace Configuration {

namespace {

constexpr std::uint32_t MostSlots = 1024;
constexpr std::uint32_t MostConnections = 65'535;

constexpr std::string_view AcceptedAddress = "an address ip:port with a port from 1 to 65535";
constexpr std::string_view AcceptedServers = "at least one server id of this index";

void checkAddress(const std::string &address, TableReader &table)
{
    const auto parts = Base::parseAddress(address);
    if (!address.empty() && (!parts || parts->port == 0))
        table.reportKey("address", AcceptedAddress);
}

void readLimits(TableReader &table, Index &index)
{
    index.slotsPerServer = table.integer("slots_per_server", {1, MostSlots});
    index.connectionsPerServer = table.integer("connections_per_server", {1, MostConnections});
    index.connectTime = table.duration("connect_time", {Base::Duration(0), Base::seconds(10)});
    // A server runs one request per connection, so further slots could never be used.
    if (index.connectionsPerServer < index.slotsPerServer)
        table.reportKey("connections_per_server", "at least slots_per_server");
}

} // namespace

BackendServer IndexReader::readServer(TableReader &table)
{
    BackendServer server;
    const auto id = table.name("id");
    serverIds_.add(id, table);
    server.id = id.text;
    const auto address = table.text("address", AcceptedAddress);
    checkAddress(address.text, table);
    serverAddresses_.add(address, table);
    server.address = address.text;
    server.dataCentre = table.name("data_centre").text;
    server.leaving = table.boolean("leaving", false);
    table.refuseUnknownKeys();
    return server;
}

Shard IndexReader::readShard(TableReader &table, const Index &index, UniqueNames &shardNames, NameSet &listed)
{
    Shard shard;
    const auto name = table.name("name");
    shardNames.add(name, table);
    shard.name = name.text;
    UniqueNames replicas;
    for (const auto &reference : table.texts("servers", AcceptedServers)) {
        if (index.findServer(reference.text) == nullptr)
            table.report(reference.line, reference.path, reference.text, std::string(AcceptedServers));
        else if (replicas.add(reference, table))
            shard.serverIds.push_back(reference.text);
        listed.insert(reference.text);
    }
    table.refuseUnknownKeys();
    return shard;
}

Index IndexReader::read(TableReader &table)
{
    Index index;
    const auto name = table.name("name");
    indexNames_.add(name, table);
    index.name = name.text;
    readLimits(table, index);
    auto serverTables = table.tables("servers");
    for (auto &serverTable : serverTables)
        index.servers.push_back(readServer(serverTable));
    UniqueNames shardNames;
    NameSet listed;
    for (auto &shardTable : table.tables("shards"))
        index.shards.push_back(readShard(shardTable, index, shardNames, listed));
    for (std::size_t position = 0; position < index.servers.size(); ++position) {
        const auto &id = index.servers[position].id;
        if (!id.empty() && listed.find(id) == listed.end())
            serverTables[position].reportKey("id", "a server that at least one shard lists");
    }
    table.refuseUnknownKeys();
    return index;
}

} // namespace Configuration
