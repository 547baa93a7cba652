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
constexpr std::string_view LogName = "log";
constexpr std::string_view SnapshotName = "snapshot";
constexpr std::string_view SnapshotMagic = "DRSNP001";

/// Name that repair() gives a file.
std::string setAsideName(std::string_view name)
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
    // Without its log a directory is new or, with a snapshot left, refused; so the log goes last.
    for (const auto name : {SnapshotName, LogName}) {
        if (auto result = opened->rename(name, setAsideName(name)); !result)
            return result;
    }
    return opened->syncDirectory();
}

Base::Result<bool> FileLogStore::wasRepaired(const std::string &directory)
{
    return DataDirectory::create(directory)
        .and_then([](const DataDirectory &opened) { return opened.read(setAsideName(LogName)); })
        .map([](const std::optional<Base::Bytes> &file) { return file.has_value(); });
}

tl::unexpected<Base::Error> FileLogStore::corrupt(std::string_view name, const Base::Error &error) const
{
    return Base::fail(Base::ErrorKind::CorruptData,
                      fmt::format("{} is damaged: {}; run `daisyroute control --repair` to set the damaged "
                                  "files aside, then add this node again under its new incarnation",
                                  directory_.pathOf(name), error.detail));
}

Base::Result<void> FileLogStore::load()
{
    const auto log = directory_.read(LogName);
    if (!log)
        return tl::unexpected(log.error());
    const auto snapshot = directory_.read(SnapshotName);
    if (!snapshot)
        return tl::unexpected(snapshot.error());
    if (!*log && *snapshot)
        return corrupt(LogName, {Base::ErrorKind::CorruptData, "offset 0: the file is missing"});
    if (!*log)
        return makeLog();
    if (auto result = loadLog(**log); !result)
        return result;
    return loadSnapshot(*snapshot);
}

Base::Result<void> FileLogStore::makeLog()
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
        return corrupt(LogName, decoded.error());
    incarnation_ = decoded->incarnation;
    if (auto result = replay(decoded->records); !result)
        return corrupt(LogName, result.error());
    if (decoded->validBytes < file.size())
        StoreLog.warning("Truncated a torn tail that was never acknowledged.",
                         {{"file", directory_.pathOf(LogName)},
                          {"offset", decoded->validBytes},
                          {"bytes", file.size() - decoded->validBytes}});
    return openLog(decoded->validBytes);
}

Base::Result<void> FileLogStore::replay(const std::vector<LogRecord> &records)
{
    const auto first = std::find_if(records.begin(), records.end(),
                                    [](const LogRecord &record) { return record.isEntry(); });
    if (first != records.end())
        image_.setBase(first->index - 1);
    for (const auto &record : records) {
        Base::Result<void> result;
        if (record.kind == LogRecordKind::HardState) {
            image_.setHardState(record.toHardState());
        } else if (record.kind == LogRecordKind::Truncation) {
            result = image_.truncateFrom(record.index);
        } else {
            const auto entry = record.toEntry();
            result = image_.append({&entry, 1});
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
        if (image_.firstIndex() > 1)
            return corrupt(SnapshotName, {Base::ErrorKind::CorruptData, "offset 0: the file is missing"});
        return {};
    }
    const auto content = unseal(SnapshotMagic, *file);
    if (!content)
        return corrupt(SnapshotName, content.error());
    auto snapshot = Wire::decode<Wire::RaftSnapshot>(*content);
    if (!snapshot)
        return corrupt(SnapshotName, snapshot.error());
    if (image_.log().empty())
        image_.setBase(0);
    if (auto result = image_.installSnapshot(std::move(*snapshot)); !result)
        return corrupt(LogName, result.error());
    return {};
}

Base::Result<void> FileLogStore::openLog(std::size_t validBytes)
{
    auto file = directory_.openForAppend(LogName);
    if (!file)
        return tl::unexpected(file.error());
    const auto path = directory_.pathOf(LogName);
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
    std::vector<LogRecord> records {LogRecord::fromHardState(image_.hardState())};
    for (const auto &entry : image_.log())
        records.push_back(LogRecord::fromEntry(entry));
    auto content = encodeLogHeader(incarnation_);
    const auto batch = encodeBatch(records, content.size());
    content.insert(content.end(), batch.begin(), batch.end());
    if (auto result = directory_.replace(LogName, content); !result)
        return result;
    pending_.clear();
    return openLog(content.size());
}

Base::Result<void> FileLogStore::remember(Base::Result<void> result)
{
    if (!result && !failure_)
        failure_ = result.error();
    return result;
}

Base::Result<void> FileLogStore::setHardState(const HardState &state)
{
    image_.setHardState(state);
    pending_.push_back(LogRecord::fromHardState(state));
    return {};
}

Base::Result<void> FileLogStore::saveSnapshot(const Wire::RaftSnapshot &snapshot)
{
    if (failure_)
        return tl::unexpected(*failure_);
    if (auto result = image_.installSnapshot(snapshot); !result)
        return result;
    const auto file = seal(SnapshotMagic, Wire::encode(snapshot));
    if (auto result = remember(directory_.replace(SnapshotName, file)); !result)
        return result;
    return remember(rewriteLog());
}

Base::Result<void> FileLogStore::append(std::span<const Wire::RaftEntry> entries)
{
    if (auto result = image_.append(entries); !result)
        return result;
    for (const auto &entry : entries)
        pending_.push_back(LogRecord::fromEntry(entry));
    return {};
}

Base::Result<void> FileLogStore::truncateFrom(std::uint64_t index)
{
    if (auto result = image_.truncateFrom(index); !result)
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
    const auto path = directory_.pathOf(LogName);
    const auto batch = encodeBatch(pending_, logBytes_);
    if (auto result = remember(writeAll(log_, batch, path)); !result)
        return result;
    if (auto result = remember(syncFile(log_, path)); !result)
        return result;
    logBytes_ += batch.size();
    pending_.clear();
    return {};
}

} // namespace Consensus
