#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace clementinebeam {

/// What a connection does with the bytes that it holds.
enum class connection_stage {
    Idle,      ///< Awaits a request, or drops what still arrives behind a refusal.
    Receiving, ///< A request is incomplete.
    Handling,  ///< A request is complete and may run.
    Sending,   ///< An answer is being sent.
};

/// What is known about one connection of a caller.
struct connection_summary {
    connection_stage stage = connection_stage::Idle;
    instant since;            ///< When the stage began; of Sending, when it last made progress.
    std::size_t received = 0; ///< Bytes of the incomplete request.
};

/// Chooses the connection that closes so that a new one can be accepted. Answers callers that open
/// more connections than the process has descriptors for.
/// @param connections the open connections.
/// @param now the current time.
/// @return the one that has been idle for longest, else the one that has sent least for its age, or
///     else the one whose caller has not read its answer for longest, for 4 s at least; none if
///     requests are being handled, or answers sent, on all.
std::optional<std::size_t> connectionToClose(const std::vector<connection_summary> &connections,
                                             instant now);

/// Shares of the process's descriptors; the rest is for targets, other instances, store and files.
struct descriptor_shares {
    std::size_t callers = 0;   ///< Connections of callers.
    std::size_t observers = 0; ///< Connections of each listener for readiness checks or metrics.
};

/// @param descriptors how many the process may open.
descriptor_shares shareDescriptors(std::size_t descriptors);

} // namespace clementinebeam
