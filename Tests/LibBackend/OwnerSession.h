#pragma once

#include "LibBackend/OwnerCore.h"

#include <map>
#include <string>
#include <string_view>

/// Feeds a scripted sequence of events to an OwnerCore and prints every action.
///
/// Each line is "<ms> <event> key=value …"; the trace repeats the event and lists its actions below it.
class OwnerSession
{
public:
    OwnerSession();
    std::string run(std::string_view script);

private:
    using Fields = std::map<std::string, std::string>;
    using EventHandler = void (OwnerSession::*)(Base::Instant, const Fields &);

    void configure(Base::Instant now, const Fields &fields);
    void lease(Base::Instant now, const Fields &fields);
    void submit(Base::Instant now, const Fields &fields);
    void cancel(Base::Instant now, const Fields &fields);
    void opened(Base::Instant now, const Fields &fields);
    void closed(Base::Instant now, const Fields &fields);
    void reply(Base::Instant now, const Fields &fields);
    void lost(Base::Instant now, const Fields &fields);
    void status(Base::Instant now, const Fields &fields);
    void release(Base::Instant now, const Fields &fields);
    void tick(Base::Instant now, const Fields &fields);
    void printActions();

    Backend::OwnerCore core_;
    std::string trace_;
};
