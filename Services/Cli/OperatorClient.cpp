#include "Services/Cli/OperatorClient.h"

#include "LibBase/Clock.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace Services {

namespace {

/// An election takes about a second; asking more often would not find a leader sooner.
constexpr Base::Duration PauseBetweenRounds = Base::milliseconds(200);
constexpr Base::Duration ConnectTimeout = Base::seconds(1);
constexpr int MisdirectedStatus = 421;
constexpr int UnavailableStatus = 503;

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> addresses, std::string key, Base::Duration timeout)
    : addresses_(std::move(addresses))
    , key_(std::move(key))
    , timeout_(timeout)
{
}

Base::Result<AddressedResponse> OperatorClient::ask(const std::string &address, const std::string &method,
                                                    const std::string &path, const std::string &body) const
{
    auto client = Http::Client::connect(address, std::min(ConnectTimeout, timeout_));
    if (!client)
        return tl::unexpected(client.error());
    Http::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!key_.empty())
        request.headers.emplace_back("Authorization", "Bearer " + key_);
    auto response = (*client)->exchange(request, timeout_);
    if (!response)
        return tl::unexpected(response.error().error);
    return AddressedResponse {address, std::move(*response)};
}

Base::Result<AddressedResponse> OperatorClient::askLeader(const std::string &method, const std::string &path,
                                                          const std::string &body) const
{
    const Base::SystemClock clock;
    const auto end = clock.now() + timeout_;
    Base::Error lastError {Base::ErrorKind::ControlUnavailable, "no control process answered as the leader"};
    while (clock.now() < end) {
        for (const auto &address : addresses_) {
            auto answer = ask(address, method, path, body);
            if (!answer)
                lastError = {answer.error().kind, fmt::format("{}: {}", address, answer.error().detail)};
            else if (answer->response.status != MisdirectedStatus
                     && answer->response.status != UnavailableStatus)
                return answer;
        }
        std::this_thread::sleep_for(PauseBetweenRounds);
    }
    return tl::unexpected(lastError);
}

} // namespace Services
