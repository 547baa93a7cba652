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

/// Working copy of the assignment while a plan is made: servers, their fellow replicas, owners and loads.
class ShareLayout
{
public:
    /// Difference in load that is tolerated for the sake of the later aims.
    static constexpr std::size_t LoadSlack = 1;

    /// How well an entry process suits a server; lower is better, fields in order of weight.
    struct Fit
    {
        std::size_t sameEntryReplicas = 0; ///< Fellow replicas at the same entry process.
        bool overloaded = false; ///< Owns clearly more than the least loaded entry process.
        std::size_t sameDataCentreReplicas = 0; ///< Fellow replicas owned in the same data centre.
        bool remote = false; ///< Owner and server are in different data centres.
        std::size_t load = 0;

        bool operator<(const Fit &other) const
        {
            return std::tie(sameEntryReplicas, overloaded, sameDataCentreReplicas, remote, load)
                   < std::tie(other.sameEntryReplicas, other.overloaded, other.sameDataCentreReplicas,
                              other.remote, other.load);
        }
    };

    struct Server
    {
        std::string dataCentre;
        std::vector<std::string> fellows; ///< Other replicas of its shards, without duplicates.
    };

    ShareLayout(const Configuration::Document &document, const std::vector<Wire::EntryRecord> &entries);

    const std::map<std::string, Server> &servers() const { return servers_; }
    bool hasEntry(const std::string &entryId) const { return entries_.contains(entryId); }
    bool hasEntries() const { return !entries_.empty(); }

    /// Returns the owner, or an empty string.
    const std::string &owner(const std::string &serverId) const;

    void assign(const std::string &serverId, const std::string &entryId);
    void unassign(const std::string &serverId);

    /// Returns how well `entryId` suits the server, whose present owner is left out of account.
    Fit fit(const std::string &serverId, const std::string &entryId) const;

    /// Returns the entry process that suits the server best; there must be at least one.
    std::string bestEntry(const std::string &serverId) const;

private:
    struct Entry
    {
        std::string dataCentre;
        std::size_t load = 0;
    };

    void addIndex(const Configuration::Index &index);
    /// What all entry processes are compared against for one server, the server itself left out.
    struct Surroundings
    {
        std::string_view dataCentre;
        std::string_view owner;
        std::size_t minimumLoad = 0;
        std::vector<std::pair<std::string_view, std::string_view>> fellowOwners; ///< With data centre.
    };

    void changeLoad(Entry &entry, int change);
    Surroundings surroundings(const std::string &serverId) const;
    static Fit fitAgainst(const Surroundings &around, const std::string &entryId, const Entry &entry);

    std::map<std::string, Server> servers_;
    std::map<std::string, Entry> entries_;
    std::map<std::size_t, std::size_t> loadCounts_; ///< Number of entry processes with each load.
    std::map<std::string, std::string> owners_; ///< By server id; only entries that may own servers count.
};

} // namespace Control
