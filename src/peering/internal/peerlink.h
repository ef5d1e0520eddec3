#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/peering/ipeertransport.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string>

namespace clementinebeam {

/// Length-prefixed frames over one TCP connection. Used on the transport's thread only.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using frame_handler = std::function<void(std::string_view)>;
    using close_handler = std::function<void()>;

    explicit peer_link(boost::asio::ip::tcp::socket socket);

    /// Connects in the background; frames sent before it is connected are queued.
    void connect(const network_address &address);

    /// Starts to read frames.
    /// @param onFrame receives each frame.
    /// @param onClose is called once when the connection ends.
    void start(frame_handler onFrame, close_handler onClose);

    /// Queues a frame; closes the connection if too many frames are waiting.
    void send(const std::string &frame);
    void close();

    /// @return when the last whole frame arrived or, before the first, when the connection was
    /// opened.
    instant lastReceived() const { return m_lastReceived; }

private:
    void readLength();
    void readBody(std::size_t length);
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    bool m_connected = false;
    bool m_closed = false;
    bool m_writing = false;
    std::array<unsigned char, 4> m_length{};
    std::string m_body;
    std::deque<std::string> m_outgoing;
    frame_handler m_onFrame;
    close_handler m_onClose;
    instant m_lastReceived;
};

} // namespace clementinebeam
