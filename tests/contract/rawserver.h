#pragma once

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace clementinebeam {

/// Accepts connections, answers the first request of each with fixed bytes and closes it, unless
/// connections are kept open; leaves all requests unanswered if the text is empty.
class raw_server
{
public:
    raw_server(std::uint16_t port, std::string answer, bool isKeptOpen = false)
        : m_answer(std::move(answer))
        , m_isKeptOpen(isKeptOpen)
    {
        m_socket = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(listen(m_socket, 16) == 0);
        m_thread = std::thread([this] { run(); });
    }

    ~raw_server()
    {
        shutdown(m_socket, SHUT_RDWR);
        close(m_socket);
        m_thread.join();
        for (const int connection : m_connections)
            shutdown(connection, SHUT_RDWR);
        for (auto &thread : m_connectionThreads)
            thread.join();
        for (const int connection : m_connections)
            close(connection);
    }

    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

private:
    void run()
    {
        for (;;) {
            const int connection = accept(m_socket, nullptr, nullptr);
            if (connection < 0)
                return;
            m_connections.push_back(connection);
            m_connectionThreads.emplace_back([this, connection] { serve(connection); });
        }
    }

    void serve(int connection) const
    {
        char buffer[4096];
        if (m_answer.empty() || read(connection, buffer, sizeof(buffer)) <= 0)
            return;
        (void)!write(connection, m_answer.data(), m_answer.size());
        if (!m_isKeptOpen)
            shutdown(connection, SHUT_RDWR);
    }

    std::string m_answer;
    bool m_isKeptOpen = false;
    int m_socket = -1;
    std::vector<int> m_connections;
    std::vector<std::thread> m_connectionThreads;
    std::thread m_thread; ///< Accepts connections.
};

} // namespace clementinebeam
