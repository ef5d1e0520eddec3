#include "internal/targetconnectionpool.h"

#include <boost/asio/ip/address.hpp>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Connecting within a region takes a few milliseconds. TCP resends a lost SYN only after a second,
/// so waiting for that is not worthwhile.
constexpr milliseconds CONNECT_TIMEOUT{400};
/// Idle time of connections to targets that announce none; below their usual 10 s.
constexpr milliseconds DEFAULT_IDLE_TIME{7000};
/// An idle connection is no longer reused this long before its target closes it, as the close could
/// coincide with a request.
constexpr milliseconds IDLE_MARGIN{1500};
/// An instance has only a few requests at one target at a time.
constexpr std::size_t MAX_IDLE_PER_TARGET = 4;

} // namespace

tcp_endpoint endpointOf(const network_address &address)
{
    return {boost::asio::ip::make_address_v4(address.host), address.port};
}

target_connection_pool::target_connection_pool(boost::asio::io_context &context,
                                               std::size_t maxAnswerBytes,
                                               std::shared_ptr<memory_account> account)
    : m_context(context)
    , m_budget(std::make_shared<byte_budget>(maxAnswerBytes, std::move(account)))
{ }

std::shared_ptr<client_connection> target_connection_pool::take(const target_entry &target)
{
    const auto now = boot_clock::now();
    const auto found = m_idle.find(target.id);
    if (found != m_idle.end()) {
        auto &idle = found->second;
        while (!idle.empty()) {
            const auto item = std::move(idle.back());
            idle.pop_back();
            if (item.connection->isReusable() && item.address == target.address
                && now < item.usableUntil)
                return item.connection;
            item.connection->close();
        }
    }
    return create(target);
}

std::shared_ptr<client_connection> target_connection_pool::create(const target_entry &target)
{
    auto connection = std::make_shared<client_connection>(m_context, endpointOf(target.address),
                                                          CONNECT_TIMEOUT);
    connection->setBudget(m_budget);
    connection->setBrokenAnswerHandler(m_onBrokenAnswer);
    if (m_undeliveredLimit)
        connection->dropUndeliveredAfter(*m_undeliveredLimit);
    return connection;
}

void target_connection_pool::giveBack(const target_entry &target,
                                      const std::shared_ptr<client_connection> &connection,
                                      std::optional<std::chrono::seconds> idleTimeout)
{
    if (!connection->isReusable())
        return;
    const auto idleTime =
            idleTimeout ? milliseconds(*idleTimeout) - IDLE_MARGIN : DEFAULT_IDLE_TIME;
    auto &idle = m_idle[target.id];
    if (idle.size() >= MAX_IDLE_PER_TARGET || idleTime <= milliseconds(0)) {
        connection->close();
        return;
    }
    idle.push_back({connection, target.address, boot_clock::now() + idleTime});
}

void target_connection_pool::closeIdle(instant now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const idle_connection &item) {
            if (item.connection->isReusable() && now < item.usableUntil)
                return false;
            item.connection->close();
            return true;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace clementinebeam
