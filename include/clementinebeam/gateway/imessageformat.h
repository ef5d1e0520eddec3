#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"
#include "clementinebeam/keyspace/keyspacetypes.h"

namespace clementinebeam {

/// Translates between the messages of the users' platform and the system's own types.
class i_message_format
{
public:
    virtual ~i_message_format() = default;

    virtual caller_context readCaller(const http_call &call) const = 0;
    virtual answer_context readAnswer(const http_answer &answer) const = 0;

    /// Prepares a caller's request for a target.
    /// @param call the request, changed in place.
    /// @param target the only target that may run it.
    /// @param timeLeft how long the target may work on it.
    virtual void addressTo(http_call &call, const target_id &target,
                           std::chrono::milliseconds timeLeft) const = 0;

    /// @return whether an answer with that status promises that the request does not run.
    virtual bool promisesNotRun(unsigned status) const = 0;

    /// Marks an own answer with the request's id and the delay after which the caller should
    /// return.
    virtual void finishOwnAnswer(http_answer &answer, const std::string &requestId,
                                 std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    virtual http_call grantCall(const grant_order &order) const = 0;
    virtual http_call releaseCall(const release_order &order) const = 0;

    /// @return the configuration, or BadMessage.
    virtual result<routing_configuration> readConfiguration(const std::string &bytes) const = 0;

    /// @return the entry, or BadMessage if it names no target to use.
    virtual result<target_entry> readTarget(const target_id &id,
                                            const std::string &bytes) const = 0;

    virtual std::string readinessPath() const = 0;
};

} // namespace clementinebeam
