#include "clementinebeam/asynchttp/serverconnection.h"

#include "clementinebeam/asynchttp/sockets.h"
#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <boost/beast/http/write.hpp>

namespace clementinebeam {

namespace {

namespace http = boost::beast::http;

/// Largest number of bytes buffered behind the current request; reading pauses at this number.
constexpr std::size_t MAX_PIPELINED_BYTES = 65536;
/// Delay after a failed accept, for example when there are no more file descriptors.
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY{50};
/// How long finish() keeps a connection open whose request may be in transit or is not read yet.
constexpr std::chrono::milliseconds LAST_REQUEST_TIMEOUT{400};
/// Number of accepted connections after which closed ones are removed.
constexpr std::size_t SWEEP_INTERVAL = 32;

unsigned statusOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

http_answer makeOwnAnswer(unsigned status, std::string body)
{
    http_answer answer;
    answer.version(11);
    answer.result(status);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

server_connection::server_connection(boost::asio::ip::tcp::socket socket,
                                     i_request_handler &handler)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handler(handler)
{ }

void server_connection::start()
{
    prepareSocket(m_socket);
    resetParser();
    armTimer(m_handler.limits().idleTimeout);
    startRead();
}

void server_connection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(m_handler.limits().headerBytes);
    m_parser->body_limit(m_handler.limits().bodyBytes);
    m_hasSentContinue = false;
}

void server_connection::armTimer(std::chrono::milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_isHandling && !self->m_isWriting)
            self->close();
    });
}

void server_connection::startRead()
{
    if (m_isReading || m_isClosed || m_buffer.size() >= MAX_PIPELINED_BYTES)
        return;
    m_isReading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_received),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->m_isReading = false;
                if (self->m_isClosed)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                boost::asio::buffer_copy(self->m_buffer.prepare(size),
                                         boost::asio::buffer(self->m_received, size));
                self->m_buffer.commit(size);
                self->onBytes();
            });
}

void server_connection::onBytes()
{
    const scope_exit readOn([this] { startRead(); });
    if (!m_isHandling && !m_isWriting)
        parse();
}

void server_connection::parse()
{
    m_isUnused = false;
    if (!m_parser->got_some())
        armTimer(m_handler.limits().headerTimeout);
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code error;
        const auto consumed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(consumed);
        if (error && error != http::error::need_more) {
            onParseError(error);
            return;
        }
        if (error || consumed == 0)
            break;
    }
    if (!m_parser->is_done()) {
        sendContinue();
        return;
    }
    m_timer.cancel();
    m_isHandling = true;
    m_isAwaitingRequest = false;
    auto call = m_parser->release();
    if (!call.keep_alive())
        m_isLastRequest = true;
    m_handler.handle(std::move(call), shared_from_this());
}

void server_connection::sendContinue()
{
    if (m_hasSentContinue || !m_parser->is_header_done()
        || m_parser->get()[http::field::expect] != "100-continue")
        return;
    m_hasSentContinue = true;
    static const std::string INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
            m_socket, boost::asio::buffer(INTERIM),
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->close();
            });
}

void server_connection::onParseError(const boost::system::error_code &error)
{
    log_line(log_level::Info, "malformed_request").add("error", error.message());
    m_isHandling = true;
    m_isLastRequest = true;
    respond(makeOwnAnswer(statusOf(error), "malformed request\n"));
}

void server_connection::respond(http_answer answer)
{
    m_onDisconnect = nullptr;
    if (m_isClosed || !m_isHandling)
        return;
    m_isHandling = false;
    m_isWriting = true;
    m_answer = std::move(answer);
    if (m_isLastRequest)
        m_answer.keep_alive(false);
    http::async_write(m_socket, m_answer,
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->m_isWriting = false;
                          if (self->m_isClosed)
                              return;
                          if (error || self->m_isLastRequest) {
                              self->close();
                              return;
                          }
                          self->resetParser();
                          self->armTimer(self->m_handler.limits().idleTimeout);
                          const scope_exit readOn([&self] { self->startRead(); });
                          if (self->m_buffer.size() > 0)
                              self->parse();
                      });
}

void server_connection::finish()
{
    m_isLastRequest = true;
    if (isBusy())
        return;
    boost::system::error_code error;
    if (!m_isUnused && m_socket.available(error) == 0) {
        close();
        return;
    }
    m_isAwaitingRequest = true;
    armTimer(LAST_REQUEST_TIMEOUT);
}

void server_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timer.cancel();
    closeQuietly(m_socket);
    const auto onDisconnect = std::move(m_onDisconnect);
    m_onDisconnect = nullptr;
    if (onDisconnect)
        onDisconnect();
}

server_listener::server_listener(boost::asio::io_context &context, i_request_handler &handler)
    : m_acceptor(context)
    , m_retryTimer(context)
    , m_handler(handler)
{ }

std::error_code server_listener::listen(const tcp_endpoint &address)
{
    const auto error = openAcceptor(m_acceptor, address);
    if (!error)
        accept();
    return error;
}

void server_listener::accept()
{
    m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                const scope_exit acceptNext([this, error] {
                    if (m_acceptor.is_open() && !error)
                        accept();
                });
                // The connection may have been accepted just before the listener stopped.
                if (!error)
                    addConnection(std::move(socket));
                if (error && m_acceptor.is_open()) {
                    log_line(log_level::Warning, "accept_failed").add("error", error.message());
                    m_retryTimer.expires_after(ACCEPT_RETRY_DELAY);
                    m_retryTimer.async_wait([this](boost::system::error_code waitError) {
                        if (!waitError)
                            accept();
                    });
                }
            });
}

void server_listener::addConnection(boost::asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<server_connection>(std::move(socket), m_handler);
    if (++m_acceptedSinceSweep >= SWEEP_INTERVAL)
        removeClosed();
    m_connections.insert(connection);
    connection->start();
    if (m_isFinishing)
        connection->finish();
}

void server_listener::removeClosed()
{
    m_acceptedSinceSweep = 0;
    std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
}

void server_listener::stopAccepting()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    // Closing the acceptor would reset the connections that wait in its queue and lose their
    // requests, so they are accepted first.
    while (!error) {
        boost::asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
    m_acceptor.close(error);
}

void server_listener::finishAll()
{
    m_isFinishing = true;
    removeClosed();
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->finish();
}

bool server_listener::isBusy()
{
    removeClosed();
    for (const auto &connection : m_connections) {
        if (connection->isBusy())
            return true;
    }
    return false;
}

} // namespace clementinebeam
