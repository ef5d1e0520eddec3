#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"

#include <functional>
#include <memory>

namespace clementinebeam {

/// Limits of a channel.
struct channel_settings {
    std::size_t connections = 4;                  ///< Connections that are held open.
    std::size_t maxConnections = 16;              ///< Including those that are stuck.
    std::chrono::milliseconds idleLimit{2000};    ///< Idle connections are renewed after it.
    std::chrono::milliseconds stuckLimit{500};    ///< Replaced when overdue by this time.
    std::chrono::milliseconds reconnectDelay{50}; ///< First delay after a failed attempt.
    std::chrono::milliseconds maxReconnectDelay{500};
};

using exchange_callback = std::function<void(result<http_response>)>;

/// Connections to one server, opened ahead of need, each with a thread of its own.
///
/// Opening a connection and reading a body may block for many seconds whatever the deadline; the
/// channel's threads absorb that, so no request's thread ever does. After one silent connection all
/// connections opened before it are renewed before they are used again.
class http_channel
{
public:
    /// @param address the server.
    /// @param settings limits.
    http_channel(network_address address, const channel_settings &settings);

    /// Stops all threads; waits for those that are not stuck.
    ~http_channel();
    http_channel(const http_channel &) = delete;
    http_channel &operator=(const http_channel &) = delete;

    /// Runs an exchange and waits for it.
    /// @param request the request.
    /// @param deadline when to give up.
    /// @param sendBy when to give up if no connection was free to send the request.
    /// @return the answer; TargetUnreachable if provably no byte was sent; DeadlineExceeded or
    ///         ConnectionLost if bytes may have been sent.
    result<http_response> exchange(http_request request, instant deadline,
                                   instant sendBy = instant::max());

    /// Runs an exchange in the background.
    /// @param request the request.
    /// @param deadline when to give up.
    /// @param callback receives the result on a thread of the channel.
    void post(http_request request, instant deadline, exchange_callback callback);

    /// @return whether at least one connection is open.
    bool isOpen() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace clementinebeam
