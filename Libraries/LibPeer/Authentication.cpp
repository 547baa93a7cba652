#include "LibPeer/Authentication.h"

#include "LibBase/Digest.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace Peer {

namespace {

std::string prove(std::string_view role, std::string_view secret, std::string_view serverNonce,
                  std::string_view clientNonce)
{
    const auto text = fmt::format("daisyroute-peer {} {} {}", role, serverNonce, clientNonce);
    return Base::hmacSha256Hex(Base::asBytes(secret), Base::asBytes(text));
}

} // namespace

std::string makeNonce()
{
    std::array<std::uint8_t, NonceLength / 2> random {};
    // A predictable nonce would allow replays, so the process cannot go on without randomness.
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1)
        std::abort();
    std::string text;
    for (const auto byte : random)
        fmt::format_to(std::back_inserter(text), "{:02x}", byte);
    return text;
}

std::string clientProof(std::string_view secret, std::string_view serverNonce, std::string_view clientNonce)
{
    return prove("client", secret, serverNonce, clientNonce);
}

std::string serverProof(std::string_view secret, std::string_view serverNonce, std::string_view clientNonce)
{
    return prove("server", secret, serverNonce, clientNonce);
}

} // namespace Peer
