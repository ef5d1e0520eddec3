#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

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

/// What a peer may send, and how long it may take.
struct server_limits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 64ULL << 20;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

class server_connection;

/// Takes requests from connections.
class i_request_handler
{
public:
    virtual ~i_request_handler() = default;

    /// Takes a complete request. respond() has to follow, unless the peer leaves.
    /// @param call the request.
    /// @param connection where it came from and the answer goes.
    virtual void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) = 0;

    /// @return the limits in force.
    virtual const server_limits &limits() const = 0;
};

/// One HTTP/1.1 connection of a peer that sends requests.
///
/// It reads on while a request is being handled, so that the peer's close is seen at once.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    using left_handler = std::function<void()>;

    server_connection(boost::asio::ip::tcp::socket socket, i_request_handler &handler);

    void start();

    /// Sends the answer to the present request.
    /// @param answer the answer; its payload has to be prepared.
    void respond(http_answer answer);

    /// @param handler called if the peer leaves before the answer; cleared by respond().
    void setLeftHandler(left_handler handler) { m_onLeft = std::move(handler); }

    /// Lets the connection end after the present request, or at once if there is none. A request
    /// that waits unread counts, as does one that may be on its way on a connection without any so
    /// far.
    void finish();

    void close();

    /// @return whether a request is being read, handled or answered.
    bool isBusy() const
    {
        const bool isBegun = m_buffer.size() > 0 || (m_parser && m_parser->got_some());
        return m_isHandling || m_isWriting || m_isAwaited || isBegun;
    }

    bool isClosed() const { return m_isClosed; }

private:
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
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    http_answer m_answer;
    left_handler m_onLeft;
    bool m_isReading = false;
    bool m_isHandling = false;
    bool m_isWriting = false;
    bool m_isLast = false;
    bool m_isClosed = false;
    bool m_hasContinued = false;
    bool m_isFresh = true;    ///< No byte of a request has been read.
    bool m_isAwaited = false; ///< The last request is waited for.
};

/// Accepts connections on one address and keeps track of them.
class server_listener
{
public:
    /// @param context the event loop.
    /// @param handler takes the requests; has to outlive the listener.
    server_listener(boost::asio::io_context &context, i_request_handler &handler);

    /// @param address where to listen.
    /// @return an error if the address can't be used.
    std::error_code listen(const tcp_endpoint &address);

    /// Takes the connections that wait to be accepted, then accepts no more.
    void stopAccepting();

    /// Lets all connections end after their present request.
    void finishAll();

    /// @return whether any connection has a request in work.
    bool isBusy();

    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept();
    void take(boost::asio::ip::tcp::socket socket);
    void forgetClosed();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    i_request_handler &m_handler;
    std::unordered_set<std::shared_ptr<server_connection>> m_connections;
    std::size_t m_acceptedSinceSweep = 0;
    bool m_isFinishing = false; ///< Connections end after one request.
};

/// @param status the status code.
/// @param body a short text for people.
/// @return an answer of this process itself, ready to be sent.
http_answer makeOwnAnswer(unsigned status, std::string body = {});

} // namespace clementinebeam
