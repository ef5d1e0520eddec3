#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/targets/controltypes.h"

#include <functional>

namespace clementinebeam {

/// Where a target listens.
struct target_address {
    target_id id;
    network_address address;
};

/// A caller's request as it is sent to the owner.
struct target_request {
    service_name service;
    std::string key;
    std::string kind;
    std::string requestId;  ///< Empty for an idempotent request.
    std::string exchangeId; ///< Echoed by the target; an answer with another id is rejected.
    std::string contentType;
    std::string body;
    slot_index slot = 0;
    epoch_number epoch = 0;
    term_number term = 0; ///< 0 for an idempotent request.
    instant deadline{};
};

/// Result of sending a request to a target.
struct target_answer {
    error_kind reason = error_kind::None; ///< None if it was answered.
    bool isNotRun = false;                ///< The target provably did not run the request.
    bool isConnectionLost = false;        ///< Connection lost after the request may have been sent.
    int status = 0;
    std::string contentType;
    std::string body;
};

using control_callback = std::function<void(result<control_reply>)>;

/// Client for all targets.
class i_target_client
{
public:
    virtual ~i_target_client() = default;

    /// Replaces the list of targets; connections to targets with an unchanged address are kept.
    /// @param targets all targets that may be called from now on.
    virtual void setTargets(const std::vector<target_address> &targets) = 0;

    /// Sends a request once and waits for the whole answer.
    /// @param target the owner.
    /// @param request the request.
    /// @return the answer, or why there is none.
    virtual target_answer call(const target_id &target, const target_request &request) = 0;

    /// Asks a target in the background to cancel a request; errors are ignored.
    /// @param target the target.
    /// @param exchangeId the exchangeId of the request.
    virtual void cancel(const target_id &target, const std::string &exchangeId) = 0;

    /// Sends a control message in the background.
    /// @param target the target.
    /// @param request the message.
    /// @param timeout when to give up.
    /// @param callback receives the reply, or an error such as TargetUnreachable, TargetRefused or
    /// BadMessage; may be called before control() returns.
    virtual void control(const target_id &target, const control_request &request,
                         std::chrono::milliseconds timeout, control_callback callback) = 0;

    /// Queries the health of a target that does not check grants, in the background.
    /// @param target the target.
    /// @param timeout when to give up.
    /// @param callback receives a reply with draining, running and queued set, or an error as
    /// from control().
    virtual void probe(const target_id &target, std::chrono::milliseconds timeout,
                       control_callback callback) = 0;
};

} // namespace clementinebeam
