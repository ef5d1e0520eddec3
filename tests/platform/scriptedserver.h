#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementinebeam::test {

/// A server that writes the bytes that a test specifies, whether or not they are valid HTTP.
class scripted_server
{
public:
    using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
    /// Called after each read of a connection, with the number of its earlier reads (0 at first).
    using script = std::function<void(scripted_server &, const socket_pointer &, int)>;

    scripted_server(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &address,
                    script onRead)
        : m_context(context)
        , m_acceptor(context, address)
        , m_onRead(std::move(onRead))
    {
        accept();
    }

    /// Writes a beginning, then repeats the same bytes until the connection breaks.
    void writeEndlessly(const socket_pointer &socket, const std::string &beginning,
                        const std::string &repeated)
    {
        const auto bytes = std::make_shared<std::string>(beginning);
        while (bytes->size() < BLOCK)
            *bytes += repeated;
        boost::asio::async_write(*socket, boost::asio::buffer(*bytes),
                                 [=, this](boost::system::error_code error, std::size_t) {
                                     if (error)
                                         ++brokenConnections;
                                     else
                                         writeEndlessly(socket, {}, repeated);
                                 });
    }

    static void write(const socket_pointer &socket, const std::string &bytes)
    {
        boost::asio::write(*socket, boost::asio::buffer(bytes));
    }

    /// Writes bytes that may exceed the buffers of the connection.
    static void writeLater(const socket_pointer &socket, std::string bytes)
    {
        const auto text = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(*socket, boost::asio::buffer(*text),
                                 [socket, text](boost::system::error_code, std::size_t) {});
    }

    /// Closes the connection in an orderly way or with a reset.
    static void end(const socket_pointer &socket, bool isReset)
    {
        if (isReset)
            socket->set_option(boost::asio::socket_base::linger(true, 0));
        socket->close();
    }

    std::vector<boost::system::error_code> ends; ///< How connections ended, seen by the server.
    int brokenConnections = 0; ///< Connections that the client ended while the server was writing.
    int connections = 0;       ///< Connections accepted.
    bool isReading = true;     ///< Whether connections are read on.
    std::string lastRead;      ///< The bytes that the newest read returned.

private:
    static constexpr std::size_t BLOCK = 16384;

    void accept()
    {
        const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_context);
        m_acceptor.async_accept(*socket, [this, socket](boost::system::error_code error) {
            if (error)
                return;
            ++connections;
            read(socket, 0);
            accept();
        });
    }

    void read(const socket_pointer &socket, int count)
    {
        const auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(boost::asio::buffer(*buffer),
                                [=, this](boost::system::error_code error, std::size_t size) {
                                    if (error) {
                                        ends.push_back(error);
                                        return;
                                    }
                                    lastRead.assign(buffer->data(), size);
                                    m_onRead(*this, socket, count);
                                    if (isReading)
                                        read(socket, count + 1);
                                });
    }

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_onRead;
};

} // namespace clementinebeam::test
