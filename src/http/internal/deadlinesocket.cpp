#include "internal/deadlinesocket.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace clementinebeam {

namespace {

std::error_code systemError(int number)
{
    return {number, std::generic_category()};
}

bool wouldBlock(int number)
{
    return number == EAGAIN || number == EWOULDBLOCK;
}

struct address_list_deleter {
    void operator()(addrinfo *list) const { freeaddrinfo(list); }
};

} // namespace

std::error_code deadline_socket::connect(const network_address &address, instant deadline)
{
    close();
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(address.host.c_str(), std::to_string(address.port).c_str(), &hints, &found)
        != 0)
        return std::make_error_code(std::errc::host_unreachable);
    const std::unique_ptr<addrinfo, address_list_deleter> list(found);
    // A name may stand for addresses of which the server listens on one only.
    std::error_code error;
    for (const auto *entry = list.get(); entry != nullptr; entry = entry->ai_next) {
        error = connectTo(*entry, deadline);
        if (!error || error == std::errc::timed_out)
            break;
    }
    return error;
}

/// @return why there is no connection to the address; the socket is closed then.
std::error_code deadline_socket::connectTo(const addrinfo &address, instant deadline)
{
    m_descriptor = socket(address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0)
        return systemError(errno);
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::error_code error;
    if (::connect(m_descriptor, address.ai_addr, address.ai_addrlen) != 0) {
        error = errno == EINPROGRESS ? await(POLLOUT, deadline) : systemError(errno);
        int number = 0;
        socklen_t size = sizeof(number);
        if (!error && getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &number, &size) == 0
            && number != 0)
            error = systemError(number);
    }
    if (error)
        close();
    return error;
}

std::error_code deadline_socket::write(std::string_view bytes, instant deadline,
                                       std::size_t &written)
{
    written = 0;
    while (written < bytes.size()) {
        const auto size =
                send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size >= 0) {
            written += static_cast<std::size_t>(size);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (!wouldBlock(errno))
            return systemError(errno);
        if (const auto error = await(POLLOUT, deadline))
            return error;
    }
    return {};
}

std::error_code deadline_socket::read(char *buffer, std::size_t size, instant deadline,
                                      std::size_t &received)
{
    received = 0;
    for (;;) {
        const auto count = recv(m_descriptor, buffer, size, 0);
        if (count >= 0) {
            received = static_cast<std::size_t>(count);
            return {};
        }
        if (errno == EINTR)
            continue;
        if (!wouldBlock(errno))
            return systemError(errno);
        if (const auto error = await(POLLIN, deadline))
            return error;
    }
}

bool deadline_socket::isQuiet() const
{
    char byte = 0;
    return isOpen() && recv(m_descriptor, &byte, 1, MSG_PEEK) < 0 && wouldBlock(errno);
}

void deadline_socket::close()
{
    if (isOpen())
        ::close(m_descriptor);
    m_descriptor = -1;
}

/// Waits until the socket is ready, or has an end or an error that the next operation reports.
std::error_code deadline_socket::await(short events, instant deadline) const
{
    for (;;) {
        const auto left =
                std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::now()).count();
        if (left <= 0)
            return std::make_error_code(std::errc::timed_out);
        pollfd entry{m_descriptor, events, 0};
        const auto timeout = std::min<std::int64_t>(left, std::numeric_limits<int>::max());
        const int ready = poll(&entry, 1, static_cast<int>(timeout));
        if (ready > 0)
            return {};
        if (ready < 0 && errno != EINTR)
            return systemError(errno);
    }
}

} // namespace clementinebeam
