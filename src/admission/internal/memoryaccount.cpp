#include "clementinebeam/admission/memoryaccount.h"

#include "clementinebeam/kernel/scopeexit.h"

#include <algorithm>
#include <limits>

namespace clementinebeam {

memory_claim::~memory_claim()
{
    if (m_account)
        m_account->set(*this, 0);
}

std::size_t memory_claim::largestHold() const
{
    return m_account ? m_account->limit() : std::numeric_limits<std::size_t>::max();
}

bool memory_claim::tryHold(std::size_t bytes)
{
    if (!m_account)
        return true;
    if (bytes > m_bytes && !m_account->makeRoom(bytes - m_bytes, bytes, this))
        return false;
    m_account->set(*this, bytes);
    return true;
}

bool memory_claim::hold(std::size_t bytes)
{
    if (!m_account)
        return true;
    m_account->set(*this, bytes);
    return m_account->makeRoom(0, 0, this);
}

bool memory_claim::mayHandle() const
{
    return !m_account || m_account->mayHandle(*this);
}

bool memory_account::tryTake(std::size_t bytes)
{
    if (!makeRoom(bytes, bytes, nullptr))
        return false;
    m_used += bytes;
    return true;
}

void memory_account::giveBack(std::size_t bytes)
{
    m_used -= std::min(bytes, m_used);
}

bool memory_account::makeRoom(std::size_t bytes, std::size_t atMost, const memory_claim *asking)
{
    // A claim that gives up may hold its refusal at once.
    if (m_isMakingRoom)
        return bytes <= m_limit && m_used <= m_limit - bytes;
    m_isMakingRoom = true;
    const scope_exit done([this] { m_isMakingRoom = false; });
    while (bytes > m_limit || m_used > m_limit - bytes) {
        auto *victim = bytes > m_limit ? nullptr : largest(atMost, asking);
        if (!victim)
            return false;
        const auto before = victim->m_bytes;
        ++m_evictions;
        victim->giveUp();
        // A claim that gives nothing back would be chosen again.
        if (victim->m_bytes >= before)
            return false;
    }
    return true;
}

/// @param above the claim has to hold more than this.
memory_claim *memory_account::largest(std::size_t above, const memory_claim *asking) const
{
    memory_claim *found = nullptr;
    for (auto *claim : m_claims) {
        if (claim == asking || claim->m_bytes <= above || !claim->mayGiveUp())
            continue;
        if (!found || claim->m_bytes > found->m_bytes)
            found = claim;
    }
    return found;
}

bool memory_account::mayHandle(const memory_claim &claim) const
{
    if (claim.m_bytes <= SMALL_BYTES)
        return true;
    std::size_t handled = 0;
    for (const auto *other : m_claims) {
        if (other != &claim && other->m_bytes > SMALL_BYTES && other->isHandling())
            handled += other->m_bytes;
    }
    return handled == 0 || handled + claim.m_bytes <= m_limit / 4 * 3;
}

void memory_account::set(memory_claim &claim, std::size_t bytes)
{
    m_used += bytes;
    m_used -= std::min(claim.m_bytes, m_used);
    claim.m_bytes = bytes;
    if (bytes > 0)
        m_claims.insert(&claim);
    else
        m_claims.erase(&claim);
}

} // namespace clementinebeam
