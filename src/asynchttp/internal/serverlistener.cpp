#include "clementinebeam/asynchttp/serverlistener.h"

#include "clementinebeam/asynchttp/sockets.h"
#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <vector>

namespace clementinebeam {

namespace {

/// Delay after a failed accept, for example when there are no more file descriptors.
constexpr std::chrono::milliseconds ACCEPT_RETRY_DELAY{50};
/// Number of accepted connections after which closed ones are removed.
constexpr std::size_t SWEEP_INTERVAL = 32;

} // namespace

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
    if (!makeRoom())
        return;
    const auto connection = std::make_shared<server_connection>(std::move(socket), m_handler);
    if (++m_acceptedSinceSweep >= SWEEP_INTERVAL)
        removeClosed();
    m_connections.insert(connection);
    connection->start();
    if (m_isFinishing)
        connection->finish();
}

/// Closes a connection if there are as many as allowed.
/// @return whether one more may be opened.
bool server_listener::makeRoom()
{
    if (m_connections.size() < m_connectionLimit)
        return true;
    removeClosed();
    if (m_connections.size() < m_connectionLimit)
        return true;
    std::vector<std::shared_ptr<server_connection>> connections(m_connections.begin(),
                                                                m_connections.end());
    std::vector<connection_summary> summaries;
    summaries.reserve(connections.size());
    for (const auto &connection : connections)
        summaries.push_back(connection->summary());
    m_handler.onClosedForLimit("connections");
    const auto chosen = connectionToClose(summaries, boot_clock::now());
    if (!chosen)
        return false;
    connections[*chosen]->close();
    removeClosed();
    return true;
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
