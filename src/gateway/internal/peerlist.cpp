#include "internal/peerlist.h"

#include <algorithm>

namespace clementinebeam {

peer_list::peer_list(const random_source &random)
    : m_random(random)
{ }

void peer_list::note(const udp_endpoint &peer, instant now)
{
    m_peers[peer] = now;
    if (m_peers.size() <= CAPACITY)
        return;
    const auto oldest = std::min_element(
            m_peers.begin(), m_peers.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; });
    m_peers.erase(oldest);
}

std::vector<udp_endpoint> peer_list::pick(std::size_t count, const udp_endpoint &excluded)
{
    std::vector<udp_endpoint> known;
    for (const auto &[peer, heard] : m_peers) {
        if (peer != excluded)
            known.push_back(peer);
    }
    std::vector<udp_endpoint> picked;
    std::sample(known.begin(), known.end(), std::back_inserter(picked), count, m_random);
    return picked;
}

std::optional<udp_endpoint> peer_list::pickOne(const udp_endpoint &excluded)
{
    const std::size_t others = m_peers.size() - m_peers.count(excluded);
    if (others == 0)
        return std::nullopt;
    auto left = std::uniform_int_distribution<std::size_t>(0, others - 1)(m_random);
    auto item = m_peers.begin();
    while (item->first == excluded || left-- > 0)
        ++item;
    return item->first;
}

} // namespace clementinebeam
