#pragma once

#include "clementinebeam/asynchttp/clientconnection.h"
#include "clementinebeam/gateway/gatewaytypes.h"

#include <map>

namespace clementinebeam {

/// Pool of HTTP connections to targets.
class target_connection_pool
{
public:
    /// @param context the event loop.
    /// @param maxAnswerBytes limit for the bytes of all answers that are being received.
    /// @param account the process's account, in which they count too; may be null.
    target_connection_pool(boost::asio::io_context &context, std::size_t maxAnswerBytes,
                           std::shared_ptr<memory_account> account = {});

    /// Makes all connections that are opened from now on end with a reset.
    /// @param limit longest time for which sent bytes may stay unacknowledged.
    void dropUndeliveredAfter(std::chrono::milliseconds limit) { m_undeliveredLimit = limit; }

    /// @param handler called for each broken answer on connections that are opened from now on.
    void setBrokenAnswerHandler(broken_answer_handler handler)
    {
        m_onBrokenAnswer = std::move(handler);
    }

    /// Takes a connection out of the pool.
    /// @param target the target to connect to.
    /// @return an idle connection, or a new one that connects with its first exchange.
    std::shared_ptr<client_connection> take(const target_entry &target);

    /// @return a connection that is not in the pool and not open yet.
    std::shared_ptr<client_connection> create(const target_entry &target);

    /// Returns a connection to the pool if it can be reused; closes it if the pool is full.
    /// @param target the target that the connection was taken for.
    /// @param connection the connection; its exchange has ended.
    /// @param idleTimeout time after which the target closes it when idle, if announced.
    void giveBack(const target_entry &target, const std::shared_ptr<client_connection> &connection,
                  std::optional<std::chrono::seconds> idleTimeout);

    /// Closes connections that have been idle for too long; to be called regularly.
    void closeIdle(instant now);

private:
    struct idle_connection {
        std::shared_ptr<client_connection> connection;
        network_address address;
        instant usableUntil;
    };

    boost::asio::io_context &m_context;
    std::shared_ptr<byte_budget> m_budget;
    std::optional<std::chrono::milliseconds> m_undeliveredLimit;
    broken_answer_handler m_onBrokenAnswer;
    std::map<target_id, std::vector<idle_connection>> m_idle; ///< Most recently used last.
};

/// Converts an address to a TCP endpoint.
/// @param address a valid IPv4 address of the settings or of a target's entry.
/// @throws boost::system::system_error if the host is not an IPv4 number.
tcp_endpoint endpointOf(const network_address &address);

} // namespace clementinebeam
