#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"
#include "LibConsensus/FileDescriptor.h"

#include <optional>
#include <string>
#include <string_view>

namespace Consensus {

/// A data directory that this process holds exclusively. Errors are StorageFailed with path and cause.
class DataDirectory
{
public:
    /// Creates the directory when it is missing and locks it; fails when another process holds the lock.
    static Base::Result<DataDirectory> create(std::string path);

    std::string pathOf(std::string_view name) const;
    /// Nothing when there is no such file.
    Base::Result<std::optional<Base::Bytes>> read(std::string_view name) const;
    /// Replaces a file durably: write, sync, rename, sync of the directory.
    Base::Result<void> replace(std::string_view name, Base::ByteView content) const;
    /// Opens an existing file so that writes go to its end.
    Base::Result<FileDescriptor> openForAppend(std::string_view name) const;
    /// Renames a file if it exists; durable only after syncDirectory().
    Base::Result<void> rename(std::string_view from, std::string_view to) const;
    Base::Result<void> syncDirectory() const;

private:
    DataDirectory(std::string path, FileDescriptor lock);

    std::string path_;
    FileDescriptor lock_; ///< Holds the lock until it is closed.
};

/// Writes all of `data`; `path` is used in the error.
Base::Result<void> writeAll(const FileDescriptor &file, Base::ByteView data, const std::string &path);

/// Makes the file's data durable; `path` is used in the error.
Base::Result<void> syncFile(const FileDescriptor &file, const std::string &path);

} // namespace Consensus
