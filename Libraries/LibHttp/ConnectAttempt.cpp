#include "LibHttp/ConnectAttempt.h"

#include "LibHttp/CivetWebLibrary.h"

#include <array>
#include <thread>

namespace Http {

namespace {

constexpr std::size_t ErrorTextBytes = 256;

} // namespace

Base::Result<ConnectionPointer> ConnectAttempt::run(const HostAndPort &target, Base::Duration timeout)
{
    initializeCivetWeb();
    auto attempt = std::make_shared<ConnectAttempt>();
    std::thread([attempt, target] { attempt->connect(target); }).detach();
    return attempt->wait(timeout);
}

void ConnectAttempt::connect(const HostAndPort &target)
{
    std::array<char, ErrorTextBytes> errorText {};
    ConnectionPointer connection(
        mg_connect_client(target.host.c_str(), target.port, 0, errorText.data(), errorText.size()));
    const std::lock_guard lock(mutex_);
    if (connection)
        result_ = std::move(connection);
    else
        result_ = Base::fail(Base::ErrorKind::BackendUnreachable, errorText.data());
    finished_.notify_all();
}

Base::Result<ConnectionPointer> ConnectAttempt::wait(Base::Duration timeout)
{
    std::unique_lock lock(mutex_);
    if (!finished_.wait_for(lock, timeout, [this] { return result_.has_value(); }))
        return Base::fail(Base::ErrorKind::BackendUnreachable, "connecting took too long");
    return std::move(*result_);
}

Base::Result<std::unique_ptr<Client>> Client::connect(std::string_view address, Base::Duration timeout)
{
    const auto target = HostAndPort::parse(address);
    if (!target)
        return tl::unexpected<Base::Error>(target.error());
    auto connection = ConnectAttempt::run(*target, timeout);
    if (!connection)
        return tl::unexpected<Base::Error>(connection.error());
    return std::make_unique<CivetWebClient>(std::move(*connection), std::string(address));
}

} // namespace Http
