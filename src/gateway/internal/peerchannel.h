#pragma once

#include "clementinebeam/kernel/networkaddress.h"
#include "internal/placementmessages.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <system_error>

namespace clementinebeam {

using udp_endpoint = boost::asio::ip::udp::endpoint;

/// @param address an IPv4 address that has been validated; other texts raise an exception.
/// @return the address as a UDP endpoint.
udp_endpoint udpEndpointOf(const network_address &address);

/// @return the address as text that parseNetworkAddress() accepts.
std::string textOf(const udp_endpoint &peer);

/// Sends and receives placement messages between instances as UDP datagrams. Datagrams may be lost;
/// callers repeat messages that stay unanswered.
class peer_channel
{
public:
    using receiver = std::function<void(const udp_endpoint &, peer_message &&)>;

    explicit peer_channel(boost::asio::io_context &context);

    /// Binds the socket and starts receiving.
    /// @param address the local address.
    /// @param onMessage called for each valid message, with the address of its sender.
    /// @return an error if the address can't be used.
    std::error_code open(const udp_endpoint &address, receiver onMessage);

    /// Sends a message. A failed send is treated like a lost datagram; it is only logged.
    void send(const udp_endpoint &peer, const peer_message &message);

private:
    static constexpr std::size_t MAX_DATAGRAM_BYTES = 2048;

    void receive();
    void receiveAvailable();
    void handleDatagram(std::size_t size);

    boost::asio::ip::udp::socket m_socket;
    udp_endpoint m_sender;
    std::array<char, MAX_DATAGRAM_BYTES> m_buffer{};
    receiver m_onMessage;
};

} // namespace clementinebeam
