#pragma once

#include "clementinebeam/answers/answererror.h"
#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"

#include <functional>
#include <memory>

namespace clementinebeam {

/// Connection counts and time limits of a channel.
struct channel_settings {
    std::size_t connections = 4;               ///< Connections to keep open.
    std::size_t maxConnections = 16;           ///< Limit that includes stuck connections.
    std::chrono::milliseconds idleLimit{2000}; ///< Idle time until a connection is reopened.
    std::chrono::milliseconds stuckLimit{500}; ///< Overdue time until a stuck thread is replaced.
    std::chrono::milliseconds reconnectDelay{50}; ///< Initial delay; doubles with each failure.
    std::chrono::milliseconds maxReconnectDelay{500};
};

/// Receives the response or the error of an exchange.
using exchange_callback = std::function<void(result<http_response>)>;

/// A pool of connections to one server, opened in advance, each with its own thread.
///
/// Opening a connection may block for many seconds regardless of the deadline.
/// Only the channel's threads block then, never the thread of a caller. After an exchange timed
/// out, every connection that was opened earlier is reopened before its next use.
class http_channel
{
public:
    /// Starts the threads, which open the connections.
    /// @param address address of the server.
    /// @param settings connection counts and time limits.
    http_channel(network_address address, const channel_settings &settings);

    /// Fails all requests that are not yet sent with TargetUnreachable and stops all threads. Waits
    /// for idle threads; a thread that is busy is detached.
    ~http_channel();
    http_channel(const http_channel &) = delete;
    http_channel &operator=(const http_channel &) = delete;

    /// @param handler called on a thread of the channel for each response that is refused because
    ///        it is broken; the exchange then ends with AnswerIncomplete or ConnectionLost.
    void setBrokenAnswerHandler(broken_answer_handler handler);

    /// Sends a request and waits for the response.
    /// @param request the request.
    /// @param deadline latest time to wait for the response.
    /// @param sendBy latest time to start sending; the request is cancelled if no connection was
    ///        free until then.
    /// @return the response; TargetUnreachable if certainly no byte was sent; DeadlineExceeded,
    ///         ConnectionLost or AnswerIncomplete if bytes may have been sent.
    result<http_response> exchange(http_request request, instant deadline,
                                   instant sendBy = instant::max());

    /// Sends a request in the background.
    /// @param request the request.
    /// @param deadline latest time to wait for the response.
    /// @param callback receives the result on a thread of the channel, or on the thread that
    ///        destroys the channel.
    void post(http_request request, instant deadline, exchange_callback callback);

    /// @return whether at least one connection is open.
    bool isOpen() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace clementinebeam
