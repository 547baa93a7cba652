#pragma once

#include "LibQuery/ClaimFlow.h"
#include "LibQuery/Tables.h"

namespace Query {

/// Checks caller queries before anything is sent for them.
class Admitter
{
public:
    Admitter(Tables &tables, const ClaimFlow &claims)
        : tables_(tables)
        , claims_(claims)
    {
    }

    /// Returns why a query is refused, or nothing after counting it as admitted.
    std::optional<Base::Error> refusal(Base::Instant now, const CallerQuery &caller);

private:
    std::optional<Base::Error> processRefusal(Base::Instant now) const;
    std::optional<Base::Error> requestRefusal(const CallerQuery &caller) const;
    std::optional<Base::Error> shardRefusal(const CallerQuery &caller) const;

    Tables &tables_;
    const ClaimFlow &claims_;
};

} // namespace Query
