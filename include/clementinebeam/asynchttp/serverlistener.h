#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"

#include <limits>
#include <unordered_set>

namespace clementinebeam {

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

    /// @param limit largest number of open connections. Beyond it, the connection that
    /// connectionToClose() chooses is closed for a new one.
    void setConnectionLimit(std::size_t limit) { m_connectionLimit = limit; }

    /// @return the number of connections, including closed ones that were not removed yet.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept();
    void addConnection(boost::asio::ip::tcp::socket socket);
    void removeClosed();
    bool makeRoom();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    i_request_handler &m_handler;
    std::unordered_set<std::shared_ptr<server_connection>> m_connections;
    std::size_t m_acceptedSinceSweep = 0;
    std::size_t m_connectionLimit = std::numeric_limits<std::size_t>::max();
    bool m_isFinishing = false; ///< New connections close after one request.
};

} // namespace clementinebeam
