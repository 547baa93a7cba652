#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"
#include "LibConsensus/LogRecord.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// Layout of the files of a data directory. All numbers are little-endian, all checksums are XXH64.
///
/// Log file: header (magic, incarnation, checksum), then batches. A batch holds the changes that share one
/// sync: magic, body length, checksum of both; records; checksum of the records. The checksums are seeded
/// with the file offset of the batch, so that a block written at the wrong offset is detected. A record is
/// kind, index, term, payload length, payload.
///
/// Other files: magic, content, checksum.
namespace Consensus {

/// Content of a log file.
struct DecodedLog
{
    std::uint64_t incarnation = 0;
    std::vector<LogRecord> records;
    std::size_t validBytes = 0; ///< Bytes after these are an incomplete write that was never acknowledged.
};

/// Returns the header of a new log file.
Base::Bytes encodeLogHeader(std::uint64_t incarnation);

/// Returns one batch to be written at `offset` of the file.
Base::Bytes encodeBatch(std::span<const LogRecord> records, std::uint64_t offset);

/// Decodes a log file; damage other than an incomplete last write gives CorruptData with the offset.
Base::Result<DecodedLog> decodeLog(Base::ByteView file);

/// Returns a file of magic, `content` and checksum; `magic` has 8 characters.
Base::Bytes encodeChecksummedFile(std::string_view magic, Base::ByteView content);

/// Returns the content of such a file, or CorruptData with the offset.
Base::Result<Base::ByteView> decodeChecksummedFile(std::string_view magic, Base::ByteView file);

} // namespace Consensus
