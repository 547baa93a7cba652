#include "LibRoute/KeyDigest.h"

#include <algorithm>
#include <openssl/sha.h>

namespace Route {

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

} // namespace Route
