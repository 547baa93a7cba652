#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Services {

/// Where control nodes are reached, from the settings, the membership and introductions. A repaired node may
/// have another address than its earlier incarnation, so the incarnation is part of the key.
class AddressBook
{
public:
    void add(const std::string &nodeId, std::uint64_t incarnation, const std::string &peerAddress)
    {
        addresses_[{nodeId, incarnation}] = peerAddress;
    }

    /// Returns ip:port, or an empty string.
    std::string find(const std::string &nodeId, std::uint64_t incarnation) const
    {
        const auto found = addresses_.find({nodeId, incarnation});
        return found == addresses_.end() ? std::string() : found->second;
    }

private:
    std::map<std::pair<std::string, std::uint64_t>, std::string> addresses_;
};

} // namespace Services
