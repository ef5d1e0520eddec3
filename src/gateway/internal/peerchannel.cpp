#include "internal/peerchannel.h"

#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <boost/asio/ip/address.hpp>

namespace clementinebeam {

namespace {

/// Datagrams that are read at once before other handlers of the event loop run.
constexpr int MAX_RECEIVE_BATCH = 32;

} // namespace

udp_endpoint udpEndpointOf(const network_address &address)
{
    return {boost::asio::ip::make_address_v4(address.host), address.port};
}

std::string textOf(const udp_endpoint &peer)
{
    return network_address{peer.address().to_string(), peer.port()}.text();
}

peer_channel::peer_channel(boost::asio::io_context &context)
    : m_socket(context)
{ }

std::error_code peer_channel::open(const udp_endpoint &address, receiver onMessage)
{
    m_onMessage = std::move(onMessage);
    boost::system::error_code error;
    m_socket.open(address.protocol(), error);
    if (!error)
        m_socket.bind(address, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (!error)
        receive();
    return error;
}

void peer_channel::receive()
{
    m_socket.async_wait(boost::asio::ip::udp::socket::wait_read,
                        [this](boost::system::error_code error) {
                            if (error)
                                return;
                            const scope_exit receiveNext([this] { receive(); });
                            receiveAvailable();
                        });
}

void peer_channel::receiveAvailable()
{
    for (int count = 0; count < MAX_RECEIVE_BATCH; ++count) {
        boost::system::error_code error;
        const auto size = m_socket.receive_from(boost::asio::buffer(m_buffer), m_sender, 0, error);
        if (error == boost::asio::error::would_block)
            return;
        // An ICMP error caused by an earlier send is reported here. It is ignored, as the silence
        // of the peer is detected elsewhere.
        if (!error)
            handleDatagram(size);
    }
}

void peer_channel::handleDatagram(std::size_t size)
{
    auto message = decodePlacementMessage(std::string(m_buffer.data(), size));
    if (!message) {
        log_line(log_level::Warning, "peer_message_dropped")
                .add("peer", m_sender.address().to_string())
                .add("error", message.error().message());
        return;
    }
    m_onMessage(m_sender, std::move(message.value()));
}

void peer_channel::send(const udp_endpoint &peer, const peer_message &message)
{
    const auto bytes = encodeBinary(message);
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(bytes), peer, 0, error);
    if (error)
        log_line(log_level::Debug, "peer_send_failed").add("error", error.message());
}

} // namespace clementinebeam
