// A link to one worker that can be cut and healed.
#pragma once

#include "http.h"

#include <memory>
#include <vector>

namespace review {

/// Passes connections on to a port. While the link is cut, it reads and accepts nothing, so that
/// bytes stay under way as they do behind a partition. Some time after the link has healed, as when
/// TCP sends them again, the bytes under way arrive, unless their sender has reset the connection.
/// Connections that were opened during the cut never existed for the other side: they are reset.
class link_proxy
{
public:
    ~link_proxy() { stop(); }

    bool start(int port, int targetPort)
    {
        m_targetPort = targetPort;
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0)
            return false;
        m_thread = std::thread([this] { run(); });
        return true;
    }

    void stop()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    void cut() { m_state = state::Cut; }
    /// New connections work at once, bytes under way arrive after a delay.
    void heal(milliseconds delay)
    {
        m_arrivalAt = clock::now() + delay;
        m_state = state::Healing;
    }

private:
    enum class state { Whole, Cut, Healing };

    struct side {
        int handle = -1;
        std::string pending; ///< Bytes to write to this side.
    };
    struct connection {
        side caller;
        side target;
        bool isFromBeforeCut = false;
        bool isOver = false;
    };

    static void reset(int handle)
    {
        const linger now{1, 0};
        setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(handle);
    }

    static void end(connection &item, bool isReset)
    {
        for (auto *end : {&item.caller, &item.target}) {
            if (isReset)
                reset(end->handle);
            else
                ::close(end->handle);
        }
        item.isOver = true;
    }

    void acceptAll(bool isCutOff)
    {
        pollfd item{m_listener, POLLIN, 0};
        while (::poll(&item, 1, 0) > 0) {
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                return;
            const int target = isCutOff ? -1 : connectTo(m_targetPort);
            if (target < 0) {
                reset(handle);
                continue;
            }
            for (const int each : {handle, target}) {
                const int on = 1;
                setsockopt(each, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            }
            m_connections.push_back({{handle, {}}, {target, {}}, false, false});
        }
    }

    /// Moves the bytes that have arrived on one side to the other.
    static void pump(connection &item, side &from, side &to)
    {
        pollfd entry{from.handle, POLLIN, 0};
        if (item.isOver || ::poll(&entry, 1, 0) <= 0)
            return;
        if ((entry.revents & POLLERR) != 0) { // Reset by its sender: bytes under way are lost.
            end(item, true);
            return;
        }
        char bytes[65536];
        const auto count = ::recv(from.handle, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count <= 0) {
            end(item, count < 0);
            return;
        }
        std::size_t done = 0;
        while (done < static_cast<std::size_t>(count)) {
            const auto sent = ::send(to.handle, bytes + done,
                                     static_cast<std::size_t>(count) - done, MSG_NOSIGNAL);
            if (sent <= 0) {
                end(item, true);
                return;
            }
            done += static_cast<std::size_t>(sent);
        }
    }

    void run()
    {
        auto last = state::Whole;
        while (!m_isStopped) {
            const auto now = m_state.load();
            if (now == state::Cut && last != state::Cut) {
                for (auto &item : m_connections)
                    item.isFromBeforeCut = true;
            }
            if (now == state::Healing && last == state::Cut)
                acceptAll(true);
            if (now != state::Cut)
                acceptAll(false);
            const bool isArriving = now == state::Healing && clock::now() >= m_arrivalAt.load();
            for (auto &item : m_connections) {
                const bool isHeld =
                        now == state::Cut || (now == state::Healing && item.isFromBeforeCut);
                if (isHeld && !isArriving)
                    continue;
                pump(item, item.caller, item.target);
                pump(item, item.target, item.caller);
            }
            std::erase_if(m_connections, [](const auto &item) { return item.isOver; });
            if (isArriving) {
                for (auto &item : m_connections)
                    item.isFromBeforeCut = false;
                auto expected = state::Healing;
                m_state.compare_exchange_strong(expected, state::Whole);
            }
            last = now;
            std::this_thread::sleep_for(std::chrono::microseconds(300));
        }
        for (auto &item : m_connections)
            end(item, false);
        ::close(m_listener);
    }

    int m_listener = -1;
    int m_targetPort = 0;
    std::thread m_thread;
    std::atomic<bool> m_isStopped{false};
    std::atomic<state> m_state{state::Whole};
    std::atomic<clock::time_point> m_arrivalAt{};
    std::vector<connection> m_connections;
};

} // namespace review
