#include "clementinebeam/asynchttp/sockets.h"

#include "clementinebeam/observability/logline.h"

#include <netinet/tcp.h>

namespace clementinebeam {

namespace {

/// Unacknowledged bytes end the connection after this time, in milliseconds (TCP_USER_TIMEOUT).
constexpr int SILENT_PEER_LIMIT_MS = 4000;
/// Probes of an idle connection: first after, then every (seconds), and how many may be lost.
constexpr int PROBE_AFTER_S = 1;
constexpr int PROBE_INTERVAL_S = 1;
constexpr int LOST_PROBES = 2;

void setOption(int handle, int level, int name, int value)
{
    if (::setsockopt(handle, level, name, &value, sizeof(value)) != 0)
        log_line(log_level::Debug, "socket_option_refused").add("option", name);
}

} // namespace

void prepareSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, SILENT_PEER_LIMIT_MS);
}

std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const tcp_endpoint &address)
{
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    return error;
}

void probeWhileIdle(boost::asio::ip::tcp::socket &socket)
{
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, LOST_PROBES);
}

void closeQuietly(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

} // namespace clementinebeam
