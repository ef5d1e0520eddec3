#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"
#include "clementinebeam/keyspace/keyspacetypes.h"

namespace clementinebeam {

/// Converts between the message formats of the platform and the gateway's own types.
class i_message_format
{
public:
    virtual ~i_message_format() = default;

    /// Reads the platform headers of a caller's request; missing ones stay empty.
    virtual caller_context readCaller(const http_call &call) const = 0;

    /// Reads the platform headers of a target's answer; missing ones stay empty.
    virtual answer_context readAnswer(const http_answer &answer) const = 0;

    /// Sets the headers of a caller's request for forwarding to a target.
    /// @param call the request, modified in place.
    /// @param target the only target that may run it.
    /// @param timeLeft time until the request's deadline.
    virtual void setForwardingHeaders(http_call &call, const target_id &target,
                                      std::chrono::milliseconds timeLeft) const = 0;

    /// @return whether an answer with that status tells the caller that the request was not run.
    virtual bool promisesNotRun(unsigned status) const = 0;

    /// Sets the headers of an answer that the gateway itself gives.
    /// @param answer the answer, modified in place.
    /// @param requestId the request's id; empty if it has none.
    /// @param retryAfter delay after which the caller should retry, if it should.
    virtual void setOwnAnswerHeaders(http_answer &answer, const std::string &requestId,
                                     std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    /// @return the request that grants keys to a target.
    virtual http_call grantCall(const grant_order &order) const = 0;

    /// @return the request that makes a target release keys.
    virtual http_call releaseCall(const release_order &order) const = 0;

    /// Decodes a record of the configuration stream.
    /// @return the configuration, or BadMessage if it can't be decoded.
    virtual result<routing_configuration> readConfiguration(const std::string &bytes) const = 0;

    /// Tells whether a record of the configuration stream evacuates a data centre.
    /// @param recordKey the record's key.
    /// @return the data centre, or nothing if the record is of another kind.
    virtual std::optional<std::string> readEvacuation(const std::string &recordKey) const = 0;

    /// Decodes a record of the target stream.
    /// @param id the record's key.
    /// @param bytes the record's value.
    /// @return the entry, or BadMessage if it does not describe a usable target.
    virtual result<target_entry> readTarget(const target_id &id,
                                            const std::string &bytes) const = 0;

    /// @return the path at which the load balancer checks readiness.
    virtual std::string readinessPath() const = 0;
};

} // namespace clementinebeam
