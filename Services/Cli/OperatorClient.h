#pragma once

#include "LibHttp/Client.h"

#include <string>
#include <vector>

namespace Services {

/// An answer with the address of the process that gave it.
struct AddressedResponse
{
    std::string address;
    Http::Response response;
};

/// Sends operator calls to the control processes and finds the leader among them.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> addresses, std::string key, Base::Duration timeout);

    /// Tries the addresses in turn, and again while there is no leader, until one answers as the leader or
    /// the timeout passes. Only safe for calls that may arrive twice; a promotion is one by its change id.
    Base::Result<AddressedResponse> askLeader(const std::string &method, const std::string &path,
                                              const std::string &body) const;

    /// Asks one process, whatever its role.
    Base::Result<AddressedResponse> ask(const std::string &address, const std::string &method,
                                        const std::string &path, const std::string &body) const;

    const std::vector<std::string> &addresses() const { return addresses_; }

private:
    std::vector<std::string> addresses_;
    std::string key_;
    Base::Duration timeout_;
};

} // namespace Services
