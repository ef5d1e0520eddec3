#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/randomsource.h"
#include "internal/peerchannel.h"

#include <map>
#include <optional>
#include <vector>

namespace clementinebeam {

/// Holds addresses of other instances.
///
/// During a partial outage of the store, an instance whose calls the store refuses can't read
/// who coordinates a service now, but other instances can tell it. Addresses come from received
/// messages and from the addresses that their senders include, so that an instance that
/// communicates only with coordinators also learns of others. Reads no clock.
class peer_list
{
public:
    /// Largest number of addresses; the one that was reported longest ago is dropped first.
    static constexpr std::size_t CAPACITY = 64;

    /// @param random source for the choice of addresses.
    explicit peer_list(const random_source &random);

    /// Adds an instance, or records that a message came from it or mentioned it.
    /// @param peer its address.
    /// @param now the present time.
    void note(const udp_endpoint &peer, instant now);

    /// @param count the largest number of addresses to return.
    /// @param excluded an address that is not returned.
    /// @return addresses chosen at random.
    std::vector<udp_endpoint> pick(std::size_t count, const udp_endpoint &excluded);

    /// @param excluded an address that is not returned.
    /// @return one address chosen at random, or nothing if no other is known.
    std::optional<udp_endpoint> pickOne(const udp_endpoint &excluded);

    std::size_t size() const { return m_peers.size(); }

private:
    random_source m_random;
    std::map<udp_endpoint, instant> m_peers; ///< Time of the last message from or mention of each.
};

} // namespace clementinebeam
