#include "LibSettings/KeyFile.h"

#include <array>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <fstream>

namespace Settings {

namespace {

/// Shorter keys could be guessed.
constexpr std::size_t ShortestKey = 16;
constexpr std::size_t LongestKey = 4096;

} // namespace

Base::Result<std::string> readKeyFile(const std::string &path)
{
    std::array<char, LongestKey> buffer {};
    std::ifstream file(path, std::ios::binary);
    file.read(buffer.data(), buffer.size());
    std::string key(buffer.data(), static_cast<std::size_t>(file.gcount()));
    boost::algorithm::trim(key);
    if (key.size() < ShortestKey || key.size() >= LongestKey)
        return Base::fail(
            Base::ErrorKind::SettingInvalid,
            fmt::format("--key-file: \"{}\" is not accepted; accepted: a readable file with a key "
                        "of {} to {} bytes",
                        path, ShortestKey, LongestKey - 1));
    return key;
}

} // namespace Settings
