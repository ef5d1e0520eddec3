#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/peering/peermessages.h"

#include <chrono>
#include <functional>

namespace clementinebeam {

/// Where another instance listens.
struct peer_address {
    instance_id id;
    network_address address; ///< For UDP and TCP.
};

using peer_reply_callback = std::function<void(result<peer_message>)>;
using peer_responder = std::function<void(peer_message)>;
using peer_message_handler = std::function<void(const incarnation_id &, const peer_message &)>;
using peer_request_handler =
        std::function<void(const incarnation_id &, const peer_message &, peer_responder)>;

/// Messages between instances. Handlers and callbacks run on the transport's thread.
class i_peer_transport
{
public:
    virtual ~i_peer_transport() = default;

    /// @param peers all other instances; messages of others are dropped.
    virtual void setPeers(const std::vector<peer_address> &peers) = 0;

    /// @param handler receives messages that want no reply.
    virtual void setMessageHandler(peer_message_handler handler) = 0;

    /// @param handler receives requests and answers them once, at once or later.
    virtual void setRequestHandler(peer_request_handler handler) = 0;

    /// Sends a message by UDP; it may be lost, delayed or doubled.
    virtual void send(const instance_id &to, const peer_message &message) = 0;

    /// Sends a request by TCP.
    /// @param to an instance; this instance answers itself.
    /// @param message the request; the receiver may get it although no reply arrives.
    /// @param timeout when to give up.
    /// @param callback receives the reply, or PeerUnreachable.
    virtual void request(const instance_id &to, const peer_message &message,
                         std::chrono::milliseconds timeout, peer_reply_callback callback) = 0;

    /// Sends a request and waits; not to be called on the transport's thread.
    result<peer_message> call(const instance_id &to, const peer_message &message,
                              std::chrono::milliseconds timeout);
};

} // namespace clementinebeam
