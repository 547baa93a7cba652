#include "LibConsensus/LogCodec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

/// Returns a log file with one batch per payload and adds its records to `records`.
Base::Bytes encodeLogFile(const std::vector<Base::Bytes> &payloads,
                          std::vector<Consensus::LogRecord> &records)
{
    auto file = Consensus::encodeLogHeader(7);
    for (const auto &payload : payloads) {
        records.push_back({Consensus::LogRecordKind::Command, records.size() + 1, 1, payload});
        const auto batch = Consensus::encodeBatch({&records.back(), 1}, file.size());
        file.insert(file.end(), batch.begin(), batch.end());
    }
    return file;
}

} // namespace

// Mutated files must give an error or a prefix of what was written, and never other records or a crash.
RC_GTEST_PROP(LogCodec, MutatedLogNeverGivesOtherRecords, (const std::vector<Base::Bytes> &payloads))
{
    std::vector<Consensus::LogRecord> records;
    auto file = encodeLogFile(payloads, records);
    const auto mutations = *rc::gen::inRange(0, 4);
    for (int mutation = 0; mutation < mutations && !file.empty(); ++mutation) {
        const auto at = *rc::gen::inRange<std::size_t>(0, file.size());
        const auto position = file.begin() + static_cast<std::ptrdiff_t>(at);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            *position = *rc::gen::arbitrary<std::uint8_t>();
            break;
        case 1:
            file.erase(position, file.end());
            break;
        case 2:
            file.erase(position);
            break;
        default:
            file.insert(position, file.begin(), file.begin() + static_cast<std::ptrdiff_t>(at / 2));
            break;
        }
    }
    const auto decoded = Consensus::decodeLog(file);
    if (!decoded) {
        RC_ASSERT(decoded.error().kind == Base::ErrorKind::CorruptData);
        return;
    }
    RC_ASSERT(decoded->records.size() <= records.size());
    RC_ASSERT(std::equal(decoded->records.begin(), decoded->records.end(), records.begin()));
}

// Arbitrary files must be refused without a crash.
RC_GTEST_PROP(LogCodec, RefusesArbitraryFiles, (const Base::Bytes &file))
{
    RC_ASSERT(!Consensus::decodeLog(file).has_value());
    RC_ASSERT(!Consensus::decodeChecksummedFile("DRSNP001", file).has_value());
}
