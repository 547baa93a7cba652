#include "LibSettings/KeyFile.h"

#include <array>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace Settings {

namespace {

/// Shorter keys could be guessed.
constexpr std::size_t ShortestKey = 16;
constexpr std::size_t LongestKey = 4096;

Base::Result<std::string> readFrom(std::istream &input, std::string_view flag, const std::string &path,
                                   std::size_t shortest)
{
    std::array<char, LongestKey> buffer {};
    input.read(buffer.data(), buffer.size());
    std::string key(buffer.data(), static_cast<std::size_t>(input.gcount()));
    boost::algorithm::trim(key);
    if (key.size() < shortest || key.size() >= LongestKey)
        return Base::fail(Base::ErrorKind::SettingInvalid,
                          fmt::format("{}: \"{}\" is not accepted; accepted: a readable file with a key "
                                      "of {} to {} bytes",
                                      flag, path, shortest, LongestKey - 1));
    return key;
}

} // namespace

Base::Result<std::string> readKeyFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return readFrom(file, "--key-file", path, ShortestKey);
}

Base::Result<std::string> readSecret(std::string_view flag, const std::string &path)
{
    if (path == "-")
        return readFrom(std::cin, flag, path, 1);
    std::ifstream file(path, std::ios::binary);
    return readFrom(file, flag, path, 1);
}

} // namespace Settings
