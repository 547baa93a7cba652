#pragma once

#include "LibConsensus/DataDirectory.h"
#include "LibConsensus/LogImage.h"
#include "LibConsensus/LogRecord.h"
#include "LibConsensus/LogStore.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Consensus {

/// LogStore in one data directory: a log file and the latest snapshot. The layout is described in LogCodec.h.
class FileLogStore final : public LogStore
{
public:
    /// Opens the directory, or makes a new one with a new incarnation when it holds no log. A torn tail is
    /// truncated; other damage gives CorruptData with file, offset and repair command.
    static Base::Result<std::unique_ptr<FileLogStore>> create(const std::string &directory);

    /// Sets the files of a damaged directory aside, so that the next create() makes a new incarnation.
    static Base::Result<void> repair(const std::string &directory);

    /// Tells whether repair() has set files of this directory aside.
    static Base::Result<bool> wasRepaired(const std::string &directory);

    std::uint64_t incarnation() const override { return incarnation_; }
    HardState hardState() const override { return image_.hardState(); }
    Base::Result<void> setHardState(const HardState &state) override;
    std::optional<Wire::RaftSnapshot> snapshot() const override { return image_.snapshot(); }
    /// Durable on return, together with all earlier changes.
    Base::Result<void> saveSnapshot(const Wire::RaftSnapshot &snapshot) override;
    std::uint64_t firstIndex() const override { return image_.firstIndex(); }
    std::uint64_t lastIndex() const override { return image_.lastIndex(); }
    std::optional<std::uint64_t> termAt(std::uint64_t index) const override { return image_.termAt(index); }
    std::vector<Wire::RaftEntry> entries(std::uint64_t from, std::uint64_t to,
                                         std::size_t maxBytes) const override;
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
    std::uint64_t incarnation_ = 0;
    LogImage image_;
    FileDescriptor log_;
    std::uint64_t logBytes_ = 0;
    std::vector<LogRecord> pending_; ///< Changes since the last sync, written as one batch.
    std::optional<Base::Error> failure_; ///< After a failed write or sync the file's content is unknown.
};

} // namespace Consensus
