#pragma once

#include "Services/Common/NodeSettings.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/stat.h>

namespace Services {

/// Notices that a settings file was replaced, with or without a signal.
class SettingsWatch
{
public:
    explicit SettingsWatch(std::string path)
        : path_(std::move(path))
        , seen_(stamp())
    {
    }

    /// Returns the new settings when the file has changed since the last call, or its mistakes; nothing
    /// otherwise. `force` reads it in any case.
    std::optional<Base::Result<NodeSettings>> poll(bool force)
    {
        const auto now = stamp();
        if (!force && now == seen_)
            return std::nullopt;
        seen_ = now;
        return readNodeSettings(path_);
    }

private:
    using Stamp = std::array<std::int64_t, 4>;

    Stamp stamp() const
    {
        struct stat info
        {
        };
        if (::stat(path_.c_str(), &info) != 0)
            return {};
        return {info.st_mtim.tv_sec, info.st_mtim.tv_nsec, info.st_size,
                static_cast<std::int64_t>(info.st_ino)};
    }

    std::string path_;
    Stamp seen_;
};

} // namespace Services
