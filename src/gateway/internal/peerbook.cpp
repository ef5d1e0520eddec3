#include "internal/peerbook.h"

#include <algorithm>

namespace clementinebeam {

peer_book::peer_book(const random_source &random)
    : m_random(random)
{ }

void peer_book::note(const udp_endpoint &peer, instant now)
{
    m_peers[peer] = now;
    if (m_peers.size() <= CAPACITY)
        return;
    const auto oldest = std::min_element(
            m_peers.begin(), m_peers.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; });
    m_peers.erase(oldest);
}

std::vector<udp_endpoint> peer_book::draw(std::size_t count, const udp_endpoint &excluded)
{
    std::vector<udp_endpoint> known;
    for (const auto &[peer, heard] : m_peers) {
        if (peer != excluded)
            known.push_back(peer);
    }
    std::vector<udp_endpoint> drawn;
    std::sample(known.begin(), known.end(), std::back_inserter(drawn), count, m_random);
    return drawn;
}

std::optional<udp_endpoint> peer_book::drawOne(const udp_endpoint &excluded)
{
    const auto drawn = draw(1, excluded);
    return drawn.empty() ? std::nullopt : std::optional(drawn.front());
}

} // namespace clementinebeam
