#pragma once

#include "LibBase/Clock.h"
#include "LibConsensus/RaftNode.h"
#include "LibControl/ControlCore.h"
#include "LibHttp/Message.h"
#include "Services/Control/ControlEventQueue.h"
#include "Services/Control/ControlSettings.h"
#include "Services/Control/MembershipDesk.h"

namespace Services {

/// Serves the HTTP calls of operators and callers. handle() runs on HTTP threads; everything that touches the
/// decision logic runs as an event on the decision thread.
class OperatorInterface
{
public:
    OperatorInterface(const ControlSettings &settings, const Base::Clock &clock, ControlEventQueue &events,
                      Control::ControlCore &core, Consensus::RaftNode &raft, MembershipDesk &membership)
        : settings_(settings)
        , clock_(clock)
        , events_(events)
        , core_(core)
        , raft_(raft)
        , membership_(membership)
    {
    }

    /// Answers one request; blocks until its answer is known or the operator time limit has passed.
    Http::Response handle(const Http::Request &request);

private:
    using Answer = std::function<void(Http::Response)>;
    using Operation = void (OperatorInterface::*)(const Http::Request &, const Answer &);

    struct Route
    {
        std::string_view method;
        std::string_view path; ///< A trailing slash matches every path under it.
        bool needsKey = true;
        Operation operation;
    };

    static const Route *findRoute(const Http::Request &request);
    bool hasKey(const Http::Request &request) const;

    void submitDocument(const Http::Request &request, const Answer &answer);
    void readDocument(const Http::Request &request, const Answer &answer);
    void promote(const Http::Request &request, const Answer &answer);
    void readStatus(const Http::Request &request, const Answer &answer);
    void addMember(const Http::Request &request, const Answer &answer);
    void removeMember(const Http::Request &request, const Answer &answer);
    void readEntries(const Http::Request &request, const Answer &answer);

    const ControlSettings &settings_;
    const Base::Clock &clock_;
    ControlEventQueue &events_;
    Control::ControlCore &core_;
    Consensus::RaftNode &raft_;
    MembershipDesk &membership_;
};

} // namespace Services
