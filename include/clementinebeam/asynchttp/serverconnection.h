#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace clementinebeam {

/// Limits on the size and the duration of requests.
struct server_limits {
    std::uint32_t headerBytes = 16384;     ///< Largest header of a request.
    std::uint64_t bodyBytes = 64ULL << 20; ///< Largest body of a request.
    /// From the first byte of a request to its last, body included.
    std::chrono::milliseconds headerTimeout{3000};
    /// Time without a request before the connection closes.
    std::chrono::milliseconds idleTimeout{15000};
};

class server_connection;

/// Handles the requests that server connections receive.
class i_request_handler
{
public:
    virtual ~i_request_handler() = default;

    /// Handles a complete request. The handler has to call respond() on the connection, now or
    /// later, unless the connection closes before.
    /// @param call the request.
    /// @param connection the connection that received the request and sends the answer.
    virtual void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) = 0;

    /// @return the limits for requests; they are read again for each request.
    virtual const server_limits &limits() const = 0;
};

/// The server side of one HTTP/1.1 connection.
///
/// Continues to read while a request is being handled, so that a close by the peer is noticed at
/// once.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using disconnect_handler = std::function<void()>;

    server_connection(boost::asio::ip::tcp::socket socket, i_request_handler &handler);

    /// Starts to read requests. Called once.
    void start();

    /// Sends the answer to the current request; does nothing if there is none or the connection is
    /// closed.
    /// @param answer the answer, after prepare_payload().
    void respond(http_answer answer);

    /// @param handler called if the connection closes before the answer; cleared by respond().
    void setDisconnectHandler(disconnect_handler handler) { m_onDisconnect = std::move(handler); }

    /// Closes the connection after the current request, or at once if there is none. Received bytes
    /// that were not read yet count as a request. A connection without any request so far stays
    /// open for a short time, because its first request may be in transit.
    void finish();

    /// Closes the connection at once and calls the handler of setDisconnectHandler(), if there is
    /// one.
    void close();

    /// @return whether a request is being read, handled or answered, or finish() waits for one.
    bool isBusy() const
    {
        const bool hasPartialRequest = m_buffer.size() > 0 || (m_parser && m_parser->got_some());
        return m_isHandling || m_isWriting || m_isAwaitingRequest || hasPartialRequest;
    }

    bool isClosed() const { return m_isClosed; }

private:
    static constexpr std::size_t READ_SIZE = 4096; ///< Bytes that one read may return.

    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void startRead();
    void onBytes();
    void parse();
    void onParseError(const boost::system::error_code &error);
    void sendContinue();
    void resetParser();
    void armTimer(std::chrono::milliseconds limit);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    i_request_handler &m_handler;
    /// Destination of the read in progress. Parsing consumes m_buffer during a read and may move
    /// its bytes, so a read must not write into it directly.
    std::array<char, READ_SIZE> m_received{};
    boost::beast::flat_buffer m_buffer; ///< Received bytes that are not parsed yet.
    std::optional<request_parser> m_parser;
    http_answer m_answer;
    disconnect_handler m_onDisconnect;
    bool m_isReading = false;
    bool m_isHandling = false;
    bool m_isWriting = false;
    bool m_isLastRequest = false;
    bool m_isClosed = false;
    bool m_hasSentContinue = false;
    bool m_isUnused = true;           ///< No byte has been received.
    bool m_isAwaitingRequest = false; ///< finish() keeps the connection open for one more request.
};

/// Accepts connections on one address and owns them.
class server_listener
{
public:
    /// @param context the event loop.
    /// @param handler handles the requests; has to outlive the listener.
    server_listener(boost::asio::io_context &context, i_request_handler &handler);

    /// @param address where to listen.
    /// @return an error if the address can't be used.
    std::error_code listen(const tcp_endpoint &address);

    /// Accepts the connections that wait in the accept queue, then no more.
    void stopAccepting();

    /// Calls finish() on all connections, and on those that are accepted later.
    void finishAll();

    /// @return whether isBusy() holds for any connection.
    bool isBusy();

    /// @return the number of connections, including closed ones that were not removed yet.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept();
    void addConnection(boost::asio::ip::tcp::socket socket);
    void removeClosed();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    i_request_handler &m_handler;
    std::unordered_set<std::shared_ptr<server_connection>> m_connections;
    std::size_t m_acceptedSinceSweep = 0;
    bool m_isFinishing = false; ///< New connections close after one request.
};

/// @param status the status code.
/// @param body the text of the body.
/// @return an answer that this process gives on its own behalf, ready to be sent.
http_answer makeOwnAnswer(unsigned status, std::string body = {});

} // namespace clementinebeam
