#pragma once

#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/peering/ipeertransport.h"
#include "internal/peerlink.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <thread>
#include <unordered_map>

namespace clementinebeam {

/// Peer transport on Boost.Asio with one thread; UDP and TCP use the same port number.
class asio_peer_transport : public i_peer_transport
{
public:
    asio_peer_transport(incarnation_id self, network_address address, std::string key,
                        std::shared_ptr<i_metrics> metrics);
    ~asio_peer_transport() override;

    /// Binds the sockets and starts the thread.
    /// @return an error if the address cannot be bound.
    std::error_code start();
    void stop();

    void setPeers(const std::vector<peer_address> &peers) override;
    void setMessageHandler(peer_message_handler handler) override;
    void setRequestHandler(peer_request_handler handler) override;
    void send(const instance_id &to, const peer_message &message) override;
    void request(const instance_id &to, const peer_message &message,
                 std::chrono::milliseconds timeout, peer_reply_callback callback) override;

private:
    struct pending_request {
        instance_id to;
        instant sentAt;
        instant deadline;
        peer_reply_callback callback;
    };

    struct peer {
        network_address address;
        std::shared_ptr<peer_link> link;
    };

    static constexpr std::size_t DATAGRAM_BUFFER_BYTES = 65536;

    void receiveDatagram();
    void accept();
    void expireRequests();
    std::optional<peer_envelope> decode(std::string_view bytes, const std::string &remoteHost);
    void handleFrame(const std::weak_ptr<peer_link> &link, std::string_view bytes,
                     const std::string &remoteHost);
    void answerLocally(const peer_message &message, const peer_reply_callback &callback);
    void sendRequest(const instance_id &to, const peer_message &message, std::uint64_t correlation);
    void completeRequest(std::uint64_t correlation, result<peer_message> reply);
    std::shared_ptr<peer_link> linkTo(peer &destination);

    incarnation_id m_self;
    network_address m_address;
    std::string m_key;
    std::shared_ptr<i_metrics> m_metrics;
    boost::asio::io_context m_context;
    boost::asio::ip::udp::socket m_datagrams{m_context};
    boost::asio::ip::tcp::acceptor m_acceptor{m_context};
    boost::asio::steady_timer m_expiryTimer{m_context};
    std::array<char, DATAGRAM_BUFFER_BYTES> m_datagramBuffer{};
    boost::asio::ip::udp::endpoint m_datagramSender;
    std::map<instance_id, peer> m_peers;
    std::unordered_map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_nextCorrelation = 1;
    peer_message_handler m_onMessage;
    peer_request_handler m_onRequest;
    std::thread m_thread;
};

} // namespace clementinebeam
