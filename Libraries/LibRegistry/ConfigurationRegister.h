#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"
#include "LibWire/RaftMessages.h"

#include <cstdint>
#include <string>

namespace Registry {

/// Log command: stores this configuration unless the current version is equal or higher.
struct StoreConfiguration
{
    std::uint64_t version = 0;
    /// Compressed with Base::compress, because it is sent to every node and names repeat in it.
    std::string text;

    MSGPACK_DEFINE(version, text)
};

/// Replicated state machine: the configuration with the highest version. The first content stored under a
/// version wins; later commands with the same or a lower version are ignored.
class ConfigurationRegister
{
public:
    /// Applies a committed entry; returns true if the configuration changed. Entries other than commands
    /// are ignored; a command that cannot be decoded gives CorruptData.
    Base::Result<bool> apply(const Wire::RaftEntry &entry);

    void restore(StoreConfiguration content) { content_ = std::move(content); }

    const StoreConfiguration &content() const { return content_; }
    /// 0 until a configuration is stored.
    std::uint64_t version() const { return content_.version; }
    /// The configuration, compressed with Base::compress.
    const std::string &text() const { return content_.text; }

private:
    StoreConfiguration content_;
};

} // namespace Registry
