#include "clementinebeam/asynchttp/sockets.h"

#include "clementinebeam/observability/logline.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace clementinebeam {

namespace {

/// Keep-alive probes of an idle connection: idle time before the first one and interval, in
/// seconds, and number of unanswered probes after which the connection ends.
constexpr int KEEP_ALIVE_IDLE_S = 1;
constexpr int KEEP_ALIVE_INTERVAL_S = 1;
constexpr int KEEP_ALIVE_PROBES = 2;

void setOption(int handle, int level, int name, int value)
{
    if (::setsockopt(handle, level, name, &value, sizeof(value)) != 0)
        log_line(log_level::Debug, "socket_option_failed").add("option", name);
}

} // namespace

void prepareSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
}

void limitUnacknowledged(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(limit.count()));
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

void enableKeepAlive(boost::asio::ip::tcp::socket &socket)
{
    const int handle = socket.native_handle();
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, KEEP_ALIVE_PROBES);
}

void dropUndelivered(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit)
{
    limitUnacknowledged(socket, limit);
    const int handle = socket.native_handle();
    // Not set by the library, whose destructor of a socket would revoke it.
    const linger reset{1, 0};
    if (::setsockopt(handle, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) != 0)
        log_line(log_level::Debug, "socket_option_failed").add("option", SO_LINGER);
}

std::optional<std::size_t> undeliveredBytes(boost::asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0)
        return std::nullopt;
    return static_cast<std::size_t>(bytes);
}

void closeQuietly(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

} // namespace clementinebeam
