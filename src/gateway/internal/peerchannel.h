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

/// @param address an address that was parsed or checked before.
udp_endpoint udpEndpointOf(const network_address &address);

/// @return the address in the form that parseNetworkAddress() reads.
std::string textOf(const udp_endpoint &peer);

/// Carries placement messages between instances as datagrams. Lost ones are repeated by the sender.
class peer_channel
{
public:
    using receiver = std::function<void(const udp_endpoint &, peer_message &&)>;

    explicit peer_channel(boost::asio::io_context &context);

    /// @param address where to listen.
    /// @param onMessage called for each message.
    /// @return an error if the address can't be used.
    std::error_code open(const udp_endpoint &address, receiver onMessage);

    void send(const udp_endpoint &peer, const peer_message &message);

private:
    static constexpr std::size_t MAX_DATAGRAM = 2048;

    void receive();
    void drain();
    void accept(std::size_t size);

    boost::asio::ip::udp::socket m_socket;
    udp_endpoint m_sender;
    std::array<char, MAX_DATAGRAM> m_buffer{};
    receiver m_onMessage;
};

} // namespace clementinebeam
