#pragma once

#include "LibConsensus/DataDirectory.h"
#include "LibConsensus/ImageLogStore.h"
#include "LibConsensus/LogRecord.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

/// LogStore in one data directory: a log file and the latest snapshot. The layout is described in LogCodec.h.
class FileLogStore final : public ImageLogStore
{
public:
    /// Opens the directory, or makes a new one with a new incarnation when it holds no log. A torn tail is
    /// truncated; other damage gives CorruptData with file, offset and repair command.
    static Base::Result<std::unique_ptr<FileLogStore>> create(const std::string &directory);

    /// Sets the files of a damaged directory aside, so that the next create() makes a new incarnation.
    static Base::Result<void> repair(const std::string &directory);

    /// Tells whether repair() has set files of this directory aside.
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
    Base::Result<void> makeLog();
    Base::Result<void> loadLog(Base::ByteView file);
    Base::Result<void> replay(const std::vector<LogRecord> &records);
    Base::Result<void> loadSnapshot(const std::optional<Base::Bytes> &file);
    Base::Result<void> openLog(std::size_t validBytes);
    Base::Result<void> rewriteLog();
    tl::unexpected<Base::Error> corrupt(std::string_view name, const Base::Error &error) const;
    Base::Result<void> remember(Base::Result<void> result);

    DataDirectory directory_;
    FileDescriptor log_;
    std::uint64_t logBytes_ = 0;
    std::vector<LogRecord> pending_; ///< Changes since the last sync, written as one batch.
    std::optional<Base::Error> failure_; ///< After a failed write or sync the file's content is unknown.
};

} // namespace Consensus
