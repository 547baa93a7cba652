#pragma once

#include "LibAllowance/AllowanceTerms.h"
#include "LibBase/Error.h"
#include "LibWire/AllowanceMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Allowance {

/// Terms by the name of the rule. A limit that is not bounded has none.
using TermsByRule = std::map<std::string, AllowanceTerms, std::less<>>;

/// Hands out units of bounded rates to gateways; one on the leader of the registries. A unit that was handed
/// out is never handed out again. Decision logic; no I/O, not durable.
class AllowanceDivider
{
public:
    static constexpr std::size_t MaxAsksPerRequest = 256;
    static constexpr std::size_t MaxKeyBytes = 512;
    static constexpr std::uint32_t MaxUnitsPerAsk = 10'000;
    /// Buckets that are full need no memory; this bounds the others.
    static constexpr std::size_t MaxBuckets = 40'000;

    /// Begins a leadership: what the earlier leader handed out is unknown, so all buckets start anew.
    void begin(Base::Instant now, std::uint64_t term);
    std::uint64_t term() const { return term_; }

    /// Replaces all rules. Buckets keep their level, up to the new capacity; rules that are new start empty
    /// at `newSince`.
    void setTerms(Base::Instant now, const TermsByRule &terms, Base::Instant newSince);
    void setTerms(Base::Instant now, const TermsByRule &terms) { setTerms(now, terms, now); }

    /// Call only while this node leads for certain at `now`. InvalidRequest if a limit of the message is
    /// exceeded.
    Base::Result<Wire::TakeAllowanceReply> take(Base::Instant now, const Wire::TakeAllowanceRequest &request);

    /// Drops the buckets that are full.
    void sweep(Base::Instant now);

    std::size_t buckets() const { return buckets_.size(); }
    std::uint64_t unitsGranted() const { return unitsGranted_; }
    std::uint64_t unitsDenied() const { return unitsDenied_; }

private:
    struct Bucket
    {
        double level = 0.0;
        Base::Instant at; ///< Of `level`.
        Base::Instant nextPromise; ///< Named to the next request that is denied.
    };

    struct Rule
    {
        AllowanceTerms terms;
        Base::Instant since; ///< Begin of the leadership, or appearance of the rule in it.
        /// Of a key that this leader has given nothing, or whose bucket was full. A change of the terms must
        /// not fill it at once: the key may have been emptied under the terms before.
        Bucket fresh;
    };

    static double levelAt(Base::Instant now, const Bucket &bucket, const Rule &rule);
    static void changeTerms(Base::Instant now, Bucket &bucket, const Rule &rule, const AllowanceTerms &terms);
    const Rule *ruleFor(std::string_view key) const;
    Wire::AllowanceGrant takeOne(Base::Instant now, const Wire::AllowanceAsk &ask);

    std::uint64_t term_ = 0;
    std::map<std::string, Rule, std::less<>> rules_;
    /// Buckets that may not be full, by key; a full one is equal to one that does not exist.
    std::unordered_map<std::string, Bucket> buckets_;
    std::uint64_t unitsGranted_ = 0;
    std::uint64_t unitsDenied_ = 0;
};

} // namespace Allowance
