#pragma once

#include "LibConfiguration/Document.h"
#include "LibWire/Directory.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Control {

/// Working copy of the assignment while a plan is made: servers, their sibling replicas, owners and loads.
class ShareLayout
{
public:
    /// Load difference that is accepted in favour of the criteria that follow.
    static constexpr std::size_t LoadTolerance = 1;

    /// Cost of placing a server at an entry process; fields in descending order of weight.
    struct PlacementCost
    {
        std::size_t sameEntryReplicas = 0; ///< Sibling replicas at the same entry process.
        bool overloaded = false; ///< Owns more than LoadTolerance above the least loaded entry process.
        std::size_t sameDataCentreReplicas = 0; ///< Sibling replicas owned in the same data centre.
        bool remote = false; ///< Owner and server are in different data centres.
        std::size_t load = 0;

        bool operator<(const PlacementCost &other) const
        {
            return std::tie(sameEntryReplicas, overloaded, sameDataCentreReplicas, remote, load)
                   < std::tie(other.sameEntryReplicas, other.overloaded, other.sameDataCentreReplicas,
                              other.remote, other.load);
        }
    };

    struct Server
    {
        std::string dataCentre;
        std::vector<std::string> siblings; ///< Other replicas of its shards, without duplicates.
    };

    ShareLayout(const Configuration::Document &document, const std::vector<Wire::EntryRecord> &entries);

    const std::map<std::string, Server> &servers() const { return servers_; }
    bool hasEntry(const std::string &entryId) const { return entries_.contains(entryId); }
    bool hasEntries() const { return !entries_.empty(); }

    /// Returns the owner, or an empty string.
    const std::string &owner(const std::string &serverId) const;

    void assign(const std::string &serverId, const std::string &entryId);
    void unassign(const std::string &serverId);

    /// Returns the cost of placing the server at `entryId`. Its current ownership is not counted.
    PlacementCost placementCost(const std::string &serverId, const std::string &entryId) const;

    /// Returns the entry process with the lowest cost; there must be at least one.
    std::string bestEntry(const std::string &serverId) const;

private:
    struct Entry
    {
        std::string dataCentre;
        std::size_t load = 0;
    };

    void addIndex(const Configuration::Index &index);

    /// Inputs for the cost of one server that are equal for all entry processes; excludes the server itself.
    struct PlacementContext
    {
        std::string_view dataCentre;
        std::string_view owner;
        std::size_t minimumLoad = 0;
        std::vector<std::pair<std::string_view, std::string_view>> siblingOwners; ///< With data centre.
    };

    void adjustLoad(Entry &entry, int delta);
    PlacementContext placementContext(const std::string &serverId) const;
    static PlacementCost costInContext(const PlacementContext &context, const std::string &entryId,
                                       const Entry &entry);

    std::map<std::string, Server> servers_;
    std::map<std::string, Entry> entries_;
    std::map<std::size_t, std::size_t> loadCounts_; ///< Number of entry processes with each load.
    std::map<std::string, std::string> owners_; ///< By server id; only entry processes that may own servers.
};

} // namespace Control
