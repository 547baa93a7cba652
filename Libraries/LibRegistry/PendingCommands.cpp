#include "LibRegistry/PendingCommands.h"

#include <fmt/format.h>

namespace Registry {

namespace {

std::string_view nameOf(PendingCommands::Kind kind)
{
    return kind == PendingCommands::Kind::Configuration ? "configuration" : "evacuation order";
}

} // namespace

void PendingCommands::settleIf(const Judge &judge)
{
    if (commands_.empty())
        return;
    std::vector<Command> remaining;
    std::vector<std::pair<Callback, Outcome>> ended;
    for (auto &command : commands_) {
        if (auto outcome = judge(command))
            ended.emplace_back(std::move(command.callback), std::move(*outcome));
        else
            remaining.push_back(std::move(command));
    }
    commands_ = std::move(remaining);
    for (auto &[callback, outcome] : ended)
        callback(std::move(outcome));
}

void PendingCommands::expire(Base::Instant now)
{
    settleIf([now](const Command &command) -> std::optional<Outcome> {
        if (now < command.deadline)
            return std::nullopt;
        return Base::fail(
            Base::ErrorKind::OutcomeUnknown,
            fmt::format("no majority confirmed the {} before the timeout", nameOf(command.kind)));
    });
}

void PendingCommands::failAll(std::string_view reason)
{
    settleIf([reason](const Command &) -> std::optional<Outcome> {
        return Base::fail(Base::ErrorKind::OutcomeUnknown, std::string(reason));
    });
}

} // namespace Registry
