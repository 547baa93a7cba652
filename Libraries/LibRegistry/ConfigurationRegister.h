#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"
#include "LibWire/RaftMessages.h"

#include <cstdint>
#include <string>

namespace Registry {

/// Log command: stores this configuration unless an equal or higher version is held.
struct StoreConfiguration
{
    std::uint64_t version = 0;
    std::string text; ///< Compressed (Base::compress): it travels to every node, and names repeat in it.

    MSGPACK_DEFINE(version, text)
};

/// Replicated state machine: the configuration with the highest version. The first content under a version
/// stays; what comes later under the same or a lower one changes nothing.
class ConfigurationRegister
{
public:
    /// Applies a committed entry; returns true when the configuration changed. Entries that are no command
    /// change nothing; one that cannot be decoded gives CorruptData.
    Base::Result<bool> apply(const Wire::RaftEntry &entry);

    Base::Bytes snapshot() const;
    Base::Result<void> restore(Base::ByteView snapshot);

    /// 0 while no configuration was stored.
    std::uint64_t version() const { return content_.version; }
    /// Compressed.
    const std::string &text() const { return content_.text; }

private:
    StoreConfiguration content_;
};

} // namespace Registry
