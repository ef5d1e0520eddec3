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
    network_address address; ///< The same for UDP and TCP.
};

using peer_reply_callback = std::function<void(result<peer_message>)>;
using peer_responder = std::function<void(peer_message)>;
using peer_message_handler = std::function<void(const incarnation_id &, const peer_message &)>;
using peer_request_handler =
        std::function<void(const incarnation_id &, const peer_message &, peer_responder)>;

/// Exchanges messages between instances. Handlers and callbacks run on the transport's thread.
class i_peer_transport
{
public:
    virtual ~i_peer_transport() = default;

    /// Replaces the list of known instances.
    /// @param peers all other instances; messages from any other sender are dropped.
    virtual void setPeers(const std::vector<peer_address> &peers) = 0;

    /// @param handler receives messages that expect no reply.
    virtual void setMessageHandler(peer_message_handler handler) = 0;

    /// @param handler receives requests and replies to each once, immediately or later, through the
    /// peer_responder that it is given.
    virtual void setRequestHandler(peer_request_handler handler) = 0;

    /// Sends a message by UDP; it may be lost, delayed or duplicated.
    /// @param to another instance; a message to an unknown one is dropped.
    /// @param message the message; dropped if its encoding exceeds MAX_DATAGRAM_BYTES.
    virtual void send(const instance_id &to, const peer_message &message) = 0;

    /// Sends a request by TCP.
    /// @param to an instance; a request to this instance itself goes to its own handler.
    /// @param message the request; the receiver may have handled it even if no reply arrives.
    /// @param timeout when to give up.
    /// @param callback receives the reply, or PeerUnreachable; NotReady if this instance is asked
    /// and has no handler yet.
    virtual void request(const instance_id &to, const peer_message &message,
                         std::chrono::milliseconds timeout, peer_reply_callback callback) = 0;

    /// Sends a request and waits for the reply; must not be called on the transport's thread.
    /// @param to an instance.
    /// @param message the request.
    /// @param timeout when to give up.
    /// @return the reply, or an error as from request().
    result<peer_message> call(const instance_id &to, const peer_message &message,
                              std::chrono::milliseconds timeout);
};

} // namespace clementinebeam
