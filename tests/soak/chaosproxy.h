#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <system_error>

namespace clementinebeam::test {

/// Loopback TCP proxy that harms the connections through it.
class chaos_proxy
{
public:
    enum class mode {
        Pass,
        Delay,       ///< Each piece of data is passed on late.
        CutToServer, ///< Data to the server is lost; nobody is told.
        CutToClient, ///< Data to the client is lost; nobody is told.
        Cut,         ///< Data in both directions is lost; nobody is told.
    };

    chaos_proxy(boost::asio::io_context &context, tcp_endpoint server);

    /// @return an error if the address can't be used.
    std::error_code listen(const tcp_endpoint &address);

    /// Sets how connections are harmed from now on. A connection that lost data never passes any
    /// again, and is reset when the cut ends.
    void setMode(mode value);

    /// @param isDown whether new connections are reset at once, as if nobody listened.
    void setDown(bool isDown) { m_isDown = isDown; }

    /// Resets all open connections.
    void resetAll();

    /// Lets all open connections go silent for good; new ones work.
    void silenceAll();

private:
    struct link {
        explicit link(boost::asio::io_context &context)
            : client(context)
            , server(context)
        { }

        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
        std::array<char, 16384> toServer{};
        std::array<char, 16384> toClient{};
        bool hasLost = false;
        bool isSilent = false;
        bool isClosed = false;
    };

    using link_pointer = std::shared_ptr<link>;

    void accept();
    void pump(const link_pointer &item, bool isToServer);
    void forward(const link_pointer &item, bool isToServer, std::size_t size);
    bool isLosing(bool isToServer) const;
    static void reset(const link_pointer &item);

    boost::asio::io_context &m_context;
    tcp_endpoint m_server;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<link_pointer> m_links;
    mode m_mode = mode::Pass;
    bool m_isDown = false;
};

} // namespace clementinebeam::test
