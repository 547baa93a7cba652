#pragma once

#include <map>
#include <string>

namespace Services {

/// Where control nodes are reached, from the settings, the membership and introductions; the latest counts.
class AddressBook
{
public:
    void add(const std::string &nodeId, const std::string &peerAddress) { addresses_[nodeId] = peerAddress; }

    /// Returns ip:port, or an empty string.
    std::string find(const std::string &nodeId) const
    {
        const auto found = addresses_.find(nodeId);
        return found == addresses_.end() ? std::string() : found->second;
    }

private:
    std::map<std::string, std::string> addresses_;
};

} // namespace Services
