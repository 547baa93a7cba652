#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace Registry {

/// The commands that this node has proposed and whose callers wait for the outcome.
class PendingCommands
{
public:
    using Outcome = Base::Result<std::uint64_t>;
    using Callback = std::function<void(Outcome)>;

    enum class Kind : std::uint8_t { Configuration, EvacuationOrder };

    struct Command
    {
        Kind kind = Kind::Configuration;
        std::uint64_t index = 0; ///< In the log.
        std::uint64_t term = 0; ///< Of the leader that proposed the order.
        std::uint64_t version = 0; ///< Of the configuration.
        Base::Instant deadline;
        Callback callback;
    };

    void add(Command command) { commands_.push_back(std::move(command)); }

    /// Ends the commands of this kind for which `judge` returns an outcome. Callbacks may add commands.
    template<typename Judge>
    void settle(Kind kind, Judge judge)
    {
        settleIf([kind, &judge](const Command &command) {
            return command.kind == kind ? judge(command) : std::optional<Outcome>();
        });
    }

    /// Fails the commands that have reached their deadline with OutcomeUnknown.
    void expire(Base::Instant now);
    /// Fails all commands with OutcomeUnknown.
    void failAll(std::string_view reason);

private:
    using Judge = std::function<std::optional<Outcome>(const Command &)>;

    void settleIf(const Judge &judge);

    std::vector<Command> commands_;
};

} // namespace Registry
