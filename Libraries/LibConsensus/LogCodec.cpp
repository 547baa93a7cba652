#include "LibConsensus/LogCodec.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace Consensus {

namespace {

constexpr std::string_view LogMagic = "DRLOG001";
constexpr std::uint32_t BatchMagic = 0x48435442; // "BTCH"
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t LogHeaderBytes = 8 + 8 + ChecksumBytes;
constexpr std::size_t BatchHeaderBytes = 4 + 4 + ChecksumBytes;
constexpr std::size_t RecordHeaderBytes = 1 + 8 + 8 + 4;
/// A disk writes each of these parts of a file whole or not at all.
constexpr std::size_t SectorBytes = 512;

void putU32(Base::Bytes &out, std::uint32_t value)
{
    out.resize(out.size() + sizeof value);
    boost::endian::store_little_u32(out.data() + out.size() - sizeof value, value);
}

void putU64(Base::Bytes &out, std::uint64_t value)
{
    out.resize(out.size() + sizeof value);
    boost::endian::store_little_u64(out.data() + out.size() - sizeof value, value);
}

std::uint64_t checksum(Base::ByteView data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::uint64_t readU64(Base::ByteView data)
{
    return boost::endian::load_little_u64(data.data());
}

std::uint32_t readU32(Base::ByteView data)
{
    return boost::endian::load_little_u32(data.data());
}

bool isZero(Base::ByteView data)
{
    return std::all_of(data.begin(), data.end(), [](std::uint8_t byte) { return byte == 0; });
}

tl::unexpected<Base::Error> corruptDataError(std::size_t offset, std::string_view what)
{
    return Base::fail(Base::ErrorKind::CorruptData, fmt::format("offset {}: {}", offset, what));
}

void putRecord(Base::Bytes &out, const LogRecord &record)
{
    out.push_back(static_cast<std::uint8_t>(record.kind));
    putU64(out, record.index);
    putU64(out, record.term);
    putU32(out, static_cast<std::uint32_t>(record.payload.size()));
    out.insert(out.end(), record.payload.begin(), record.payload.end());
}

/// Decodes the records of one batch whose checksum holds; false when they do not fill the body exactly.
bool decodeRecords(Base::ByteView body, std::vector<LogRecord> &records)
{
    while (body.size() >= RecordHeaderBytes) {
        const auto length = readU32(body.subspan(17));
        if (body[0] > static_cast<std::uint8_t>(LogRecordKind::Truncation)
            || length > body.size() - RecordHeaderBytes)
            return false;
        const auto payload = body.subspan(RecordHeaderBytes, length);
        records.push_back({static_cast<LogRecordKind>(body[0]),
                           readU64(body.subspan(1)),
                           readU64(body.subspan(9)),
                           {payload.begin(), payload.end()}});
        body = body.subspan(RecordHeaderBytes + length);
    }
    return body.empty();
}

bool hasBatchHeader(Base::ByteView file, std::size_t offset)
{
    const auto rest = file.subspan(offset);
    return rest.size() >= BatchHeaderBytes && readU32(rest) == BatchMagic
           && readU64(rest.subspan(8)) == checksum(rest.first(8), offset);
}

bool hasBatchBehind(Base::ByteView file, std::size_t offset)
{
    for (++offset; offset < file.size(); ++offset) {
        if (hasBatchHeader(file, offset))
            return true;
    }
    return false;
}

/// Whether a sector from `offset` on, or the part of the first one behind it, holds only zeros. No batch
/// does: it begins with the magic number, and payloads are text or compressed.
bool lacksSector(Base::ByteView file, std::size_t offset)
{
    for (auto begin = offset; begin < file.size();) {
        const auto end = std::min(file.size(), (begin / SectorBytes + 1) * SectorBytes);
        const bool isLong = end - begin == SectorBytes;
        if ((isLong || begin == offset) && isZero(file.subspan(begin, end - begin)))
            return true;
        begin = end;
    }
    return false;
}

/// Whether the batch at `offset` is the last write, of which a power failure left out some sectors. Each
/// batch is written after the sync of the one before, so that only the last one can lack any.
bool isTorn(Base::ByteView file, std::size_t offset)
{
    return lacksSector(file, offset) && !hasBatchBehind(file, offset);
}

enum class BatchState { Valid, Incomplete, Damaged };

/// Classifies the batch at `offset`. An incomplete write leaves the file too short or, after a power failure,
/// zeros where data was not yet written, whichever part that is. Anything else is damage to data that may
/// have been acknowledged.
BatchState classifyBatch(Base::ByteView file, std::size_t offset)
{
    const auto rest = file.subspan(offset);
    if (rest.size() < BatchHeaderBytes || isZero(rest))
        return BatchState::Incomplete;
    if (!hasBatchHeader(file, offset)) {
        const bool unwritten = isZero(rest.subspan(BatchHeaderBytes)) || isTorn(file, offset);
        return unwritten ? BatchState::Incomplete : BatchState::Damaged;
    }
    const std::size_t length = readU32(rest.subspan(4));
    const auto size = BatchHeaderBytes + length + ChecksumBytes;
    if (rest.size() < size)
        return BatchState::Incomplete;
    const auto trailer = rest.subspan(BatchHeaderBytes + length, ChecksumBytes);
    if (readU64(trailer) == checksum(rest.subspan(BatchHeaderBytes, length), offset))
        return BatchState::Valid;
    const bool unwritten = rest.size() == size && (isZero(trailer) || isTorn(file, offset));
    return unwritten ? BatchState::Incomplete : BatchState::Damaged;
}

} // namespace

Base::Bytes encodeLogHeader(std::uint64_t incarnation)
{
    auto header = Base::toBytes(LogMagic);
    putU64(header, incarnation);
    putU64(header, checksum(header, 0));
    return header;
}

Base::Bytes encodeBatch(std::span<const LogRecord> records, std::uint64_t offset)
{
    Base::Bytes body;
    for (const auto &record : records)
        putRecord(body, record);
    Base::Bytes batch;
    putU32(batch, BatchMagic);
    putU32(batch, static_cast<std::uint32_t>(body.size()));
    putU64(batch, checksum(batch, offset));
    batch.insert(batch.end(), body.begin(), body.end());
    putU64(batch, checksum(body, offset));
    return batch;
}

Base::Result<DecodedLog> decodeLog(Base::ByteView file)
{
    // The header is written before the file gets its name, so it is never incomplete.
    if (file.size() < LogHeaderBytes || Base::asText(file.first(8)) != LogMagic
        || readU64(file.subspan(16)) != checksum(file.first(16), 0))
        return corruptDataError(0, "the log header is damaged");
    DecodedLog log;
    log.incarnation = readU64(file.subspan(8));
    log.validBytes = LogHeaderBytes;
    while (log.validBytes < file.size()) {
        const auto rest = file.subspan(log.validBytes);
        const auto state = classifyBatch(file, log.validBytes);
        if (state == BatchState::Incomplete)
            break;
        if (state == BatchState::Damaged)
            return corruptDataError(log.validBytes, "the checksum of a record batch does not match");
        const std::size_t length = readU32(rest.subspan(4));
        if (!decodeRecords(rest.subspan(BatchHeaderBytes, length), log.records))
            return corruptDataError(log.validBytes, "a record batch is malformed");
        log.validBytes += BatchHeaderBytes + length + ChecksumBytes;
    }
    return log;
}

Base::Bytes encodeChecksummedFile(std::string_view magic, Base::ByteView content)
{
    auto file = Base::toBytes(magic);
    file.insert(file.end(), content.begin(), content.end());
    putU64(file, checksum(file, 0));
    return file;
}

Base::Result<Base::ByteView> decodeChecksummedFile(std::string_view magic, Base::ByteView file)
{
    if (file.size() < magic.size() + ChecksumBytes || Base::asText(file.first(magic.size())) != magic)
        return corruptDataError(0, "the header is damaged");
    const auto end = file.size() - ChecksumBytes;
    if (readU64(file.subspan(end)) != checksum(file.first(end), 0))
        return corruptDataError(end, "the checksum does not match");
    return file.subspan(magic.size(), end - magic.size());
}

} // namespace Consensus
