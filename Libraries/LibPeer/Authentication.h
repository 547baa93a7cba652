#pragma once

#include <string>
#include <string_view>

namespace Peer {

/// Path of the request for the server's nonce; the first stream of each connection.
constexpr std::string_view ChallengePath = "/authentication/challenge";

/// Path of the request that carries the client's nonce and proof; the second stream.
constexpr std::string_view ProofPath = "/authentication/proof";

/// Length of a nonce and of a proof in hexadecimal digits.
constexpr std::size_t NonceLength = 64;

/// Returns 32 random bytes as hexadecimal digits.
std::string makeNonce();

/// Proof that the client knows the secret, bound to both nonces of the connection.
std::string clientProof(std::string_view secret, std::string_view serverNonce, std::string_view clientNonce);

/// Proof that the server knows the secret; differs from clientProof() so that neither can be reflected.
std::string serverProof(std::string_view secret, std::string_view serverNonce, std::string_view clientNonce);

} // namespace Peer
