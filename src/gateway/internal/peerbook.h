#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/randomsource.h"
#include "internal/peerchannel.h"

#include <map>
#include <optional>
#include <vector>

namespace clementinebeam {

/// Remembers addresses of other instances.
///
/// Answers partial outages of the store: an instance that the store refuses can't read who
/// coordinates now, but other instances can tell. Addresses come from messages of others and
/// from what these name in turn, so that an instance that only ever talks to coordinators knows
/// more than those. Reads no clock.
class peer_book
{
public:
    /// Addresses that are kept; the one heard of longest ago makes room.
    static constexpr std::size_t CAPACITY = 64;

    explicit peer_book(const random_source &random);

    /// Takes that an instance lived a short time ago.
    void note(const udp_endpoint &peer, instant now);

    /// @param count most addresses wanted.
    /// @param excluded an address that is not wanted.
    /// @return addresses drawn at random.
    std::vector<udp_endpoint> draw(std::size_t count, const udp_endpoint &excluded);

    /// @param excluded an address that is not wanted.
    /// @return one address drawn at random, or nothing if none is known.
    std::optional<udp_endpoint> drawOne(const udp_endpoint &excluded);

    std::size_t size() const { return m_peers.size(); }

private:
    random_source m_random;
    std::map<udp_endpoint, instant> m_peers; ///< When each was last heard of.
};

} // namespace clementinebeam
