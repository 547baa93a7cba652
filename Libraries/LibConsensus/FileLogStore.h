#pragma once

#include "LibConsensus/CachedLogStore.h"
#include "LibConsensus/DataDirectory.h"
#include "LibConsensus/LogRecord.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

/// LogStore in one data directory: a log file and the latest snapshot. The layout is described in LogCodec.h.
class FileLogStore final : public CachedLogStore
{
public:
    /// Opens the directory, or initialises it with a new incarnation when it holds no log. An incomplete
    /// write at the end of the log is truncated; other damage gives CorruptData with file, offset and repair
    /// command.
    static Base::Result<std::unique_ptr<FileLogStore>> create(const std::string &directory);

    /// Renames the log and the snapshot of a damaged directory to *.damaged, so that the next create() starts
    /// with an empty log and a new incarnation.
    static Base::Result<void> repair(const std::string &directory);

    /// Whether repair() has renamed the log of this directory.
    static Base::Result<bool> wasRepaired(const std::string &directory);

    Base::Result<void> setHardState(const HardState &state) override;
    /// Durable on return, together with all earlier changes.
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override;
    Base::Result<void> append(std::span<const Wire::RaftEntry> entries) override;
    Base::Result<void> truncateFrom(std::uint64_t index) override;
    Base::Result<void> sync() override;

private:
    explicit FileLogStore(DataDirectory directory);

    Base::Result<void> load();
    Base::Result<void> createLog();
    Base::Result<void> loadLog(Base::ByteView file);
    Base::Result<void> replay(const std::vector<LogRecord> &records);
    Base::Result<void> loadSnapshot(const std::optional<Base::Bytes> &file);
    Base::Result<void> openLog(std::size_t validBytes);
    Base::Result<void> rewriteLog();
    tl::unexpected<Base::Error> corruptFileError(std::string_view name, const Base::Error &error) const;
    Base::Result<void> recordFailure(Base::Result<void> result);

    DataDirectory directory_;
    FileDescriptor log_;
    std::uint64_t logBytes_ = 0;
    std::vector<LogRecord> pending_; ///< Changes since the last sync, written as one batch.
    std::optional<Base::Error> failure_; ///< After a failed write or sync the file's content is unknown.
};

} // namespace Consensus
