#pragma once

#include "clementinebeam/asynchttp/clientconnection.h"
#include "clementinebeam/gateway/gatewaytypes.h"

#include <map>

namespace clementinebeam {

/// Keeps idle connections to targets for further requests.
class target_pool
{
public:
    /// @param context the event loop.
    /// @param answerBytes most bytes of answers that may be coming in at a time.
    target_pool(boost::asio::io_context &context, std::size_t answerBytes);

    /// @param target where to connect.
    /// @return an idle connection, or a new one.
    std::shared_ptr<client_connection> take(const target_entry &target);

    /// Keeps a connection for later, if it can be used again.
    /// @param idleTimeout how long the target keeps it, if it said so.
    void giveBack(const target_entry &target, const std::shared_ptr<client_connection> &connection,
                  std::optional<std::chrono::seconds> idleTimeout);

    /// Closes connections that were idle for long; to be called every second or so.
    void closeIdle(instant now);

private:
    std::shared_ptr<client_connection> makeFresh(const target_entry &target);

    struct idle_connection {
        std::shared_ptr<client_connection> connection;
        network_address address;
        instant usableUntil;
    };

    boost::asio::io_context &m_context;
    std::shared_ptr<byte_budget> m_budget;
    std::map<target_id, std::vector<idle_connection>> m_idle; ///< Latest used last.
};

/// @param address an address of the settings or of an entry, already checked.
tcp_endpoint endpointOf(const network_address &address);

} // namespace clementinebeam
