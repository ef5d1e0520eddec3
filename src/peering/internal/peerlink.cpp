#include "internal/peerlink.h"

#include "clementinebeam/peering/peercodec.h"

#include <boost/asio/read.hpp>

namespace clementinebeam {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MAX_OUTGOING_FRAMES = 10000;
constexpr unsigned BITS_PER_BYTE = 8;

std::string prependLength(const std::string &frame)
{
    std::string bytes;
    for (int shift = 3; shift >= 0; --shift)
        bytes += static_cast<char>(frame.size() >> (static_cast<unsigned>(shift) * BITS_PER_BYTE));
    return bytes + frame;
}

} // namespace

peer_link::peer_link(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_connected(m_socket.is_open())
    , m_lastReceived(boot_clock::now())
{ }

void peer_link::connect(const network_address &address)
{
    boost::system::error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    if (error)
        return close();
    m_socket.async_connect({host, address.port},
                           [self = shared_from_this()](const boost::system::error_code &failure) {
                               if (failure)
                                   return self->close();
                               self->m_connected = true;
                               self->m_lastReceived = boot_clock::now();
                               boost::system::error_code ignored;
                               self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                               self->readLength();
                               self->writeNext();
                           });
}

void peer_link::start(frame_handler onFrame, close_handler onClose)
{
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
    if (!m_connected)
        return;
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    readLength();
}

void peer_link::send(const std::string &frame)
{
    if (m_closed)
        return;
    if (m_outgoing.size() >= MAX_OUTGOING_FRAMES)
        return close();
    m_outgoing.push_back(prependLength(frame));
    writeNext();
}

void peer_link::close()
{
    if (std::exchange(m_closed, true))
        return;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_outgoing.clear();
    const auto onClose = std::exchange(m_onClose, nullptr);
    m_onFrame = nullptr;
    if (onClose)
        onClose();
}

void peer_link::readLength()
{
    asio::async_read(
            m_socket, asio::buffer(m_length),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (error || self->m_closed)
                    return self->close();
                std::size_t length = 0;
                for (const auto byte : self->m_length)
                    length = length << BITS_PER_BYTE | byte;
                if (length > MAX_PEER_MESSAGE_BYTES)
                    return self->close();
                self->readBody(length);
            });
}

void peer_link::readBody(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(
            m_socket, asio::buffer(m_body),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (error || self->m_closed)
                    return self->close();
                self->m_lastReceived = boot_clock::now();
                const auto handler = self->m_onFrame;
                if (handler)
                    handler(self->m_body);
                if (!self->m_closed)
                    self->readLength();
            });
}

void peer_link::writeNext()
{
    if (!m_connected || m_writing || m_outgoing.empty())
        return;
    m_writing = true;
    asio::async_write(
            m_socket, asio::buffer(m_outgoing.front()),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                self->m_writing = false;
                if (error || self->m_closed)
                    return self->close();
                self->m_outgoing.pop_front();
                self->writeNext();
            });
}

} // namespace clementinebeam
