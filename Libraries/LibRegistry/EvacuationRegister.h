#pragma once

#include "LibBase/Bytes.h"
#include "LibWire/Codec.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Registry {

/// Log command: nothing more goes to the servers of a data centre, or the end of that. Its first field, a
/// text, tells it from StoreConfiguration, whose first field is a number.
struct OrderEvacuation
{
    static constexpr std::string_view Tag = "evacuation";

    std::string tag {Tag};
    std::string dataCentre;
    bool evacuated = false;

    MSGPACK_DEFINE(tag, dataCentre, evacuated)
};

/// Decodes an evacuation order; empty for any other command.
std::optional<OrderEvacuation> decodeEvacuation(Base::ByteView command);

/// Replicated state machine: the data centres that operators have evacuated. Each order gives a new revision,
/// also one that changes nothing, so that a delayed copy of an earlier order can be told from it.
class EvacuationRegister
{
public:
    /// Limits the memory that orders with wrong names can take.
    static constexpr std::size_t MaxDataCentres = 256;

    /// Whether an order may be accepted.
    bool hasRoomFor(const std::string &dataCentre) const
    {
        return dataCentres_.size() < MaxDataCentres || dataCentres_.contains(dataCentre);
    }

    /// Applies the committed order of log entry `index`.
    void apply(std::uint64_t index, const OrderEvacuation &order);
    void restore(std::uint64_t revision, const std::vector<std::string> &dataCentres);

    /// Log index of the last order; 0 before the first.
    std::uint64_t revision() const { return revision_; }
    std::size_t count() const { return dataCentres_.size(); }
    std::vector<std::string> dataCentres() const { return {dataCentres_.begin(), dataCentres_.end()}; }

private:
    std::set<std::string> dataCentres_;
    std::uint64_t revision_ = 0;
};

} // namespace Registry
