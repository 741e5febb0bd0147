#pragma once

#include <string_view>

#include "acaciafork/decisions/routing/Routing.h"

namespace acaciafork::entry {

/// What an entry's decisions ask of the connections around them: callers on one side, endpoints and
/// peer entries on the other. Each call is one command of routing::EntryScheduler.
class EntryPorts
{
public:
    virtual ~EntryPorts() = default;

    /// Send the request to an endpoint.
    virtual void startAttempt(const routing::StartAttempt &command) = 0;
    /// Pass the attempt's answer on to the caller, as it comes.
    virtual void forwardAnswer(const routing::ForwardAnswer &command) = 0;
    /// Tell the caller that the work did not run.
    virtual void answerNotRun(const routing::AnswerNotRun &command) = 0;
    /// Tell the caller that the work may have run.
    virtual void answerUnknown(const routing::AnswerUnknown &command) = 0;
    /// Pass the whole request to the peer entry whose callers' interface is at `address`.
    virtual void forwardToPeer(const routing::ForwardToPeer &command, std::string_view address) = 0;
    /// Let nothing more of the attempt reach its caller.
    virtual void abandonAttempt(const routing::AbandonAttempt &command) = 0;
    /// Reset the attempt's connection.
    virtual void releaseAttempt(const routing::ReleaseAttempt &command) = 0;
    /// Close idle connections of an endpoint.
    virtual void closeConnections(const routing::CloseConnections &command) = 0;
    /// Try to connect to an ejected endpoint.
    virtual void probeEndpoint(const routing::ProbeEndpoint &command) = 0;
};

} // namespace acaciafork::entry
