#include "LibConsensus/FileLogStore.h"

#include "LibBase/Incarnation.h"
#include "LibBase/Log.h"
#include "LibConsensus/LogCodec.h"
#include "LibWire/Codec.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <system_error>
#include <utility>

namespace Consensus {

namespace {

constexpr Base::Log StoreLog {"log-store"};
constexpr std::string_view LogFileName = "log";
constexpr std::string_view SnapshotFileName = "snapshot";
constexpr std::string_view SnapshotMagic = "DRSNP001";

/// Name to which repair() renames a file.
std::string damagedFileName(std::string_view name)
{
    return fmt::format("{}.damaged", name);
}

} // namespace

FileLogStore::FileLogStore(DataDirectory directory)
    : directory_(std::move(directory))
{
}

Base::Result<std::unique_ptr<FileLogStore>> FileLogStore::create(const std::string &directory)
{
    auto opened = DataDirectory::create(directory);
    if (!opened)
        return tl::unexpected(opened.error());
    std::unique_ptr<FileLogStore> store(new FileLogStore(std::move(*opened)));
    if (auto result = store->load(); !result)
        return tl::unexpected(result.error());
    return store;
}

Base::Result<void> FileLogStore::repair(const std::string &directory)
{
    const auto opened = DataDirectory::create(directory);
    if (!opened)
        return tl::unexpected(opened.error());
    // The log is renamed last: without a log, create() initialises the directory as new, or fails if a
    // snapshot is left.
    for (const auto name : {SnapshotFileName, LogFileName}) {
        if (auto result = opened->rename(name, damagedFileName(name)); !result)
            return result;
    }
    return opened->syncDirectory();
}

Base::Result<bool> FileLogStore::wasRepaired(const std::string &directory)
{
    return DataDirectory::create(directory)
        .and_then([](const DataDirectory &opened) { return opened.read(damagedFileName(LogFileName)); })
        .map([](const std::optional<Base::Bytes> &file) { return file.has_value(); });
}

tl::unexpected<Base::Error> FileLogStore::corruptFileError(std::string_view name,
                                                           const Base::Error &error) const
{
    return Base::fail(Base::ErrorKind::CorruptData,
                      fmt::format("{} is damaged: {}; run `daisyroute control --repair` to set the damaged "
                                  "files aside, then add this node again under its new incarnation",
                                  directory_.pathOf(name), error.detail));
}

Base::Result<void> FileLogStore::load()
{
    const auto log = directory_.read(LogFileName);
    if (!log)
        return tl::unexpected(log.error());
    const auto snapshot = directory_.read(SnapshotFileName);
    if (!snapshot)
        return tl::unexpected(snapshot.error());
    if (!*log && *snapshot)
        return corruptFileError(LogFileName, {Base::ErrorKind::CorruptData, "offset 0: the file is missing"});
    if (!*log)
        return createLog();
    if (auto result = loadLog(**log); !result)
        return result;
    return loadSnapshot(*snapshot);
}

Base::Result<void> FileLogStore::createLog()
{
    incarnation_ = Base::makeIncarnation();
    StoreLog.info("Created a data directory.",
                  {{"path", directory_.pathOf("")}, {"incarnation", incarnation_}});
    return rewriteLog();
}

Base::Result<void> FileLogStore::loadLog(Base::ByteView file)
{
    const auto decoded = decodeLog(file);
    if (!decoded)
        return corruptFileError(LogFileName, decoded.error());
    incarnation_ = decoded->incarnation;
    if (auto result = replay(decoded->records); !result)
        return corruptFileError(LogFileName, result.error());
    if (decoded->validBytes < file.size())
        StoreLog.warning("Truncated an incomplete write at the end of the log; it was never acknowledged.",
                         {{"file", directory_.pathOf(LogFileName)},
                          {"offset", decoded->validBytes},
                          {"bytes", file.size() - decoded->validBytes}});
    return openLog(decoded->validBytes);
}

Base::Result<void> FileLogStore::replay(const std::vector<LogRecord> &records)
{
    const auto first = std::find_if(records.begin(), records.end(),
                                    [](const LogRecord &record) { return record.isEntry(); });
    if (first != records.end())
        contents_.setBase(first->index - 1);
    for (const auto &record : records) {
        Base::Result<void> result;
        if (record.kind == LogRecordKind::HardState) {
            contents_.setHardState(record.toHardState());
        } else if (record.kind == LogRecordKind::Truncation) {
            result = contents_.truncateFrom(record.index);
        } else {
            const auto entry = record.toEntry();
            result = contents_.append({&entry, 1});
        }
        if (!result)
            return result;
    }
    return {};
}

// The log may still hold entries that the snapshot covers when the process stopped between writing the two
// files.
Base::Result<void> FileLogStore::loadSnapshot(const std::optional<Base::Bytes> &file)
{
    if (!file) {
        if (contents_.firstIndex() > 1)
            return corruptFileError(SnapshotFileName,
                                    {Base::ErrorKind::CorruptData, "offset 0: the file is missing"});
        return {};
    }
    const auto content = decodeChecksummedFile(SnapshotMagic, *file);
    if (!content)
        return corruptFileError(SnapshotFileName, content.error());
    auto snapshot = Wire::decode<Wire::RaftSnapshot>(*content);
    if (!snapshot)
        return corruptFileError(SnapshotFileName, snapshot.error());
    if (contents_.log().empty())
        contents_.setBase(0);
    if (auto result = contents_.installSnapshot(std::move(*snapshot)); !result)
        return corruptFileError(LogFileName, result.error());
    return {};
}

Base::Result<void> FileLogStore::openLog(std::size_t validBytes)
{
    auto file = directory_.openForAppend(LogFileName);
    if (!file)
        return tl::unexpected(file.error());
    const auto path = directory_.pathOf(LogFileName);
    if (::ftruncate(file->get(), static_cast<off_t>(validBytes)) != 0)
        return Base::fail(
            Base::ErrorKind::StorageFailed,
            fmt::format("cannot truncate {}: {}", path, std::generic_category().message(errno)));
    log_ = std::move(*file);
    logBytes_ = validBytes;
    return syncFile(log_, path);
}

/// Replaces the log file by one that holds only the current hard state and entries.
Base::Result<void> FileLogStore::rewriteLog()
{
    std::vector<LogRecord> records {LogRecord::fromHardState(contents_.hardState())};
    for (const auto &entry : contents_.log())
        records.push_back(LogRecord::fromEntry(entry));
    auto content = encodeLogHeader(incarnation_);
    const auto batch = encodeBatch(records, content.size());
    content.insert(content.end(), batch.begin(), batch.end());
    if (auto result = directory_.replace(LogFileName, content); !result)
        return result;
    pending_.clear();
    return openLog(content.size());
}

Base::Result<void> FileLogStore::recordFailure(Base::Result<void> result)
{
    if (!result && !failure_)
        failure_ = result.error();
    return result;
}

Base::Result<void> FileLogStore::setHardState(const HardState &state)
{
    contents_.setHardState(state);
    pending_.push_back(LogRecord::fromHardState(state));
    return {};
}

Base::Result<void> FileLogStore::saveSnapshot(const Wire::RaftSnapshot &snapshot)
{
    if (failure_)
        return tl::unexpected(*failure_);
    if (auto result = contents_.installSnapshot(snapshot); !result)
        return result;
    const auto file = encodeChecksummedFile(SnapshotMagic, Wire::encode(snapshot));
    if (auto result = recordFailure(directory_.replace(SnapshotFileName, file)); !result)
        return result;
    return recordFailure(rewriteLog());
}

Base::Result<void> FileLogStore::append(std::span<const Wire::RaftEntry> entries)
{
    if (auto result = contents_.append(entries); !result)
        return result;
    for (const auto &entry : entries)
        pending_.push_back(LogRecord::fromEntry(entry));
    return {};
}

Base::Result<void> FileLogStore::truncateFrom(std::uint64_t index)
{
    if (auto result = contents_.truncateFrom(index); !result)
        return result;
    pending_.push_back({LogRecordKind::Truncation, index, 0, {}});
    return {};
}

Base::Result<void> FileLogStore::sync()
{
    if (failure_)
        return tl::unexpected(*failure_);
    if (pending_.empty())
        return {};
    const auto path = directory_.pathOf(LogFileName);
    const auto batch = encodeBatch(pending_, logBytes_);
    if (auto result = recordFailure(writeAll(log_, batch, path)); !result)
        return result;
    if (auto result = recordFailure(syncFile(log_, path)); !result)
        return result;
    logBytes_ += batch.size();
    pending_.clear();
    return {};
}

} // namespace Consensus
