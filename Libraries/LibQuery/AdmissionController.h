#pragma once

#include "LibQuery/ClaimFlow.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Validates and admits caller queries before anything is sent for them.
class AdmissionController
{
public:
    AdmissionController(Tables &tables, const ClaimFlow &claims)
        : tables_(tables)
        , claims_(claims)
    {
    }

    /// Admits and counts the query, or returns the error that it is refused with.
    std::optional<Base::Error> admit(Base::Instant now, const CallerQuery &caller);

private:
    std::optional<Base::Error> checkProcess(Base::Instant now) const;
    std::optional<Base::Error> checkRequest(const CallerQuery &caller) const;
    std::optional<Base::Error> checkShard(const CallerQuery &caller) const;

    Tables &tables_;
    const ClaimFlow &claims_;
};

} // namespace Query
