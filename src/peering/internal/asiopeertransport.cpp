#include "internal/asiopeertransport.h"

#include "clementinebeam/peering/peercodec.h"

#include <boost/asio/post.hpp>

namespace clementinebeam {

namespace asio = boost::asio;

namespace {

/// Interval between checks for requests whose deadline has passed.
constexpr std::chrono::milliseconds EXPIRY_CHECK_INTERVAL{5};

} // namespace

asio_peer_transport::asio_peer_transport(incarnation_id self, network_address address,
                                         std::string key, std::shared_ptr<i_metrics> metrics)
    : m_self(std::move(self))
    , m_address(std::move(address))
    , m_key(std::move(key))
    , m_metrics(std::move(metrics))
{ }

asio_peer_transport::~asio_peer_transport()
{
    stop();
}

std::error_code asio_peer_transport::start()
{
    boost::system::error_code error;
    const auto host = asio::ip::make_address(m_address.host, error);
    if (error)
        return error;
    const asio::ip::udp::endpoint datagramAddress(host, m_address.port);
    const asio::ip::tcp::endpoint streamAddress(host, m_address.port);
    m_datagrams.open(datagramAddress.protocol(), error);
    if (!error)
        m_datagrams.bind(datagramAddress, error);
    if (!error)
        m_acceptor.open(streamAddress.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(streamAddress, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    receiveDatagram();
    accept();
    expireRequests();
    m_thread = std::thread([this] { m_context.run(); });
    return {};
}

void asio_peer_transport::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void asio_peer_transport::setPeers(const std::vector<peer_address> &peers)
{
    asio::post(m_context, [this, peers] {
        std::map<instance_id, peer> next;
        for (const auto &entry : peers) {
            if (entry.id == m_self.instance)
                continue;
            const auto known = m_peers.find(entry.id);
            if (known != m_peers.end() && known->second.address == entry.address)
                next.insert(m_peers.extract(known));
            else
                next[entry.id].address = entry.address;
        }
        m_peers.swap(next);
    });
}

void asio_peer_transport::setMessageHandler(peer_message_handler handler)
{
    asio::post(m_context, [this, handler = std::move(handler)] { m_onMessage = handler; });
}

void asio_peer_transport::setRequestHandler(peer_request_handler handler)
{
    asio::post(m_context, [this, handler = std::move(handler)] { m_onRequest = handler; });
}

void asio_peer_transport::send(const instance_id &to, const peer_message &message)
{
    auto bytes = encodePeerMessage({m_self, 0, false, message}, m_key);
    if (bytes.size() > MAX_DATAGRAM_BYTES) {
        m_metrics->countDrop("datagram_too_large");
        return;
    }
    asio::post(m_context, [this, to, bytes = std::move(bytes)] {
        const auto found = m_peers.find(to);
        if (found == m_peers.end())
            return;
        boost::system::error_code error;
        const auto host = asio::ip::make_address(found->second.address.host, error);
        if (!error)
            m_datagrams.send_to(asio::buffer(bytes), {host, found->second.address.port}, 0, error);
    });
}

void asio_peer_transport::request(const instance_id &to, const peer_message &message,
                                  std::chrono::milliseconds timeout, peer_reply_callback callback)
{
    asio::post(m_context, [this, to, message, timeout, callback = std::move(callback)] {
        if (to == m_self.instance)
            return answerLocally(message, callback);
        const auto correlation = m_nextCorrelation++;
        const auto now = boot_clock::now();
        m_pending[correlation] = {to, now, now + timeout, callback};
        sendRequest(to, message, correlation);
    });
}

void asio_peer_transport::answerLocally(const peer_message &message,
                                        const peer_reply_callback &callback)
{
    if (!m_onRequest)
        return callback(make_error_code(error_kind::NotReady));
    m_onRequest(m_self, message, [callback](peer_message reply) { callback(std::move(reply)); });
}

void asio_peer_transport::sendRequest(const instance_id &to, const peer_message &message,
                                      std::uint64_t correlation)
{
    const auto found = m_peers.find(to);
    if (found == m_peers.end())
        return completeRequest(correlation, make_error_code(error_kind::PeerUnreachable));
    linkTo(found->second)->send(encodePeerMessage({m_self, correlation, false, message}, m_key));
}

std::shared_ptr<peer_link> asio_peer_transport::linkTo(peer &destination)
{
    if (destination.link)
        return destination.link;
    auto link = std::make_shared<peer_link>(asio::ip::tcp::socket(m_context));
    destination.link = link;
    const std::weak_ptr<peer_link> weak = link;
    const auto host = destination.address.host;
    link->start([this, weak, host](std::string_view bytes) { handleFrame(weak, bytes, host); },
                [this, weak] {
                    const auto closed = weak.lock();
                    for (auto &[id, entry] : m_peers) {
                        if (entry.link == closed)
                            entry.link.reset();
                    }
                });
    link->connect(destination.address);
    return link;
}

void asio_peer_transport::completeRequest(std::uint64_t correlation, result<peer_message> reply)
{
    const auto found = m_pending.find(correlation);
    if (found == m_pending.end())
        return;
    const auto callback = std::move(found->second.callback);
    m_pending.erase(found);
    callback(std::move(reply));
}

void asio_peer_transport::receiveDatagram()
{
    m_datagrams.async_receive_from(
            asio::buffer(m_datagramBuffer), m_datagramSender,
            [this](const boost::system::error_code &error, std::size_t length) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    const auto envelope = decode({m_datagramBuffer.data(), length},
                                                 m_datagramSender.address().to_string());
                    if (envelope && m_onMessage)
                        m_onMessage(envelope->sender, envelope->body);
                }
                receiveDatagram();
            });
}

void asio_peer_transport::accept()
{
    m_acceptor.async_accept(
            [this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    boost::system::error_code ignored;
                    const auto host = socket.remote_endpoint(ignored).address().to_string();
                    auto link = std::make_shared<peer_link>(std::move(socket));
                    const std::weak_ptr<peer_link> weak = link;
                    link->start([this, weak,
                                 host](std::string_view bytes) { handleFrame(weak, bytes, host); },
                                [] {});
                }
                accept();
            });
}

std::optional<peer_envelope> asio_peer_transport::decode(std::string_view bytes,
                                                         const std::string &remoteHost)
{
    auto envelope = decodePeerMessage(bytes, m_key);
    if (!envelope) {
        m_metrics->countDrop(answerFor(kindOf(envelope.error())).reason);
        return std::nullopt;
    }
    const auto known = m_peers.find(envelope.value().sender.instance);
    if (known == m_peers.end() || known->second.address.host != remoteHost) {
        m_metrics->countDrop("unlisted_sender");
        return std::nullopt;
    }
    return std::move(envelope.value());
}

void asio_peer_transport::handleFrame(const std::weak_ptr<peer_link> &link, std::string_view bytes,
                                      const std::string &remoteHost)
{
    const auto envelope = decode(bytes, remoteHost);
    const auto alive = link.lock();
    if (!alive)
        return;
    if (!envelope)
        return alive->close();
    if (envelope->isReply)
        return completeRequest(envelope->correlation, envelope->body);
    if (!m_onRequest)
        return;
    const auto correlation = envelope->correlation;
    m_onRequest(envelope->sender, envelope->body, [this, link, correlation](peer_message reply) {
        auto frame = encodePeerMessage({m_self, correlation, true, std::move(reply)}, m_key);
        asio::post(m_context, [link, frame = std::move(frame)] {
            if (const auto open = link.lock())
                open->send(frame);
        });
    });
}

void asio_peer_transport::expireRequests()
{
    const auto now = boot_clock::now();
    std::vector<std::uint64_t> expired;
    for (const auto &[correlation, pending] : m_pending) {
        if (now >= pending.deadline)
            expired.push_back(correlation);
    }
    for (const auto correlation : expired) {
        const auto &pending = m_pending.at(correlation);
        const auto found = m_peers.find(pending.to);
        // Nothing arrived since the request was sent: the connection may be dead. The next
        // request opens another one.
        if (found != m_peers.end() && found->second.link
            && found->second.link->lastReceived() < pending.sentAt)
            std::shared_ptr<peer_link>(found->second.link)->close();
        completeRequest(correlation, make_error_code(error_kind::PeerUnreachable));
    }
    m_expiryTimer.expires_after(EXPIRY_CHECK_INTERVAL);
    m_expiryTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            expireRequests();
    });
}

} // namespace clementinebeam
