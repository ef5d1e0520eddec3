// Blocking HTTP/1.1 over loopback, one thread a connection: enough for stand-ins of a few dozen
// connections.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const char *const HOST = "127.0.0.1";

inline std::string lowerCase(std::string text)
{
    for (auto &letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

inline std::string trim(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, HOST, &address.sin_addr);
    return address;
}

struct message {
    std::string first;                          ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lowerCase(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::size_t start = 0;
        for (; index > 0; --index)
            start = first.find(' ', start) + 1;
        return first.substr(start, first.find(' ', start) - start);
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

/// A connected socket with a read buffer.
class stream
{
public:
    explicit stream(int handle)
        : m_handle(handle)
    {
        const int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    stream(const stream &) = delete;
    ~stream() { close(); }

    void close()
    {
        if (m_handle >= 0)
            ::close(m_handle);
        m_handle = -1;
    }

    /// Unblocks a thread that reads from the stream.
    void shutdown() { ::shutdown(m_handle, SHUT_RDWR); }

    bool write(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count =
                    ::send(m_handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Waits for more bytes.
    /// @return false at the end of the stream or at the deadline.
    bool fill(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd item{m_handle, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(std::min<long>(left, 1000000))) <= 0)
            return false;
        char bytes[16384];
        const auto count = ::recv(m_handle, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_isEnded = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Reads one message with a length, or an answer that ends with its connection.
    bool read(message &result, clock::time_point deadline, bool isAnswer)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        result = {};
        std::size_t start = 0;
        while (start < end) {
            const auto stop = std::min(m_buffer.find("\r\n", start), end);
            const auto line = m_buffer.substr(start, stop - start);
            start = stop + 2;
            if (result.first.empty()) {
                result.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                result.headers[lowerCase(line.substr(0, colon))] = trim(line.substr(colon + 1));
        }
        m_buffer.erase(0, end + 4);
        const auto length = result.header("content-length");
        if (length.empty() && isAnswer && result.status() != 204) {
            while (fill(deadline)) { }
            result.body = std::move(m_buffer);
            m_buffer.clear();
            return m_isEnded;
        }
        const auto size = length.empty() ? 0UL : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return false;
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool isEnded() const { return m_isEnded; }

private:
    int m_handle;
    bool m_isEnded = false;
    std::string m_buffer;
};

inline std::string answerText(int status, const std::map<std::string, std::string> &headers,
                              const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a loopback port until it is stopped.
class http_server
{
public:
    /// @return whether the connection stays open.
    using handler = std::function<bool(const message &, stream &)>;

    ~http_server() { stop(); }

    bool start(int port, handler handle)
    {
        m_handle = std::move(handle);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0)
            return false;
        m_isStopped = false;
        m_acceptor = std::thread([this] { accept(); });
        return true;
    }

    /// Closes the listener and all connections, as the end of the process does.
    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (auto *item : m_streams)
                item->shutdown();
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(milliseconds(1));
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                if (!m_isStopped)
                    std::this_thread::sleep_for(milliseconds(1));
                continue;
            }
            ++m_threads;
            std::thread([this, handle] {
                {
                    stream peer(handle);
                    {
                        const std::lock_guard lock(m_mutex);
                        m_streams.insert(&peer);
                    }
                    message call;
                    while (!m_isStopped
                           && peer.read(call, clock::now() + std::chrono::minutes(5), false)
                           && m_handle(call, peer)) { }
                    const std::lock_guard lock(m_mutex);
                    m_streams.erase(&peer);
                }
                --m_threads;
            }).detach();
        }
    }

    handler m_handle;
    int m_listener = -1;
    std::atomic<bool> m_isStopped{true};
    std::atomic<int> m_threads{0};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<stream *> m_streams;
};

/// @return a connected socket, or -1.
inline int connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

} // namespace review
