#pragma once

#include "clementinebeam/admission/memoryaccount.h"

#include <algorithm>
#include <cstddef>
#include <memory>

namespace clementinebeam {

/// Limits the memory for answers that are being received, as a sum over all connections that share
/// the budget.
///
/// Protects against faulty peers that send endless data: a fixed limit for each answer alone would
/// have to be far below the size of valid answers. Each answer may hold at most as much as it
/// leaves for all others, so that one that does not end can't use the budget up.
class byte_budget
{
public:
    /// @param limit largest sum of reserved bytes.
    /// @param account the process's account, in which they count too; may be null.
    explicit byte_budget(std::size_t limit, std::shared_ptr<memory_account> account = {})
        : m_limit(limit)
        , m_account(std::move(account))
    { }

    /// Reserves bytes for an answer, unless it would then hold more than is left.
    /// @param bytes how many.
    /// @param held bytes that are reserved for the same answer already.
    /// @return whether the bytes were reserved.
    bool tryReserve(std::size_t bytes, std::size_t held)
    {
        const auto left = m_limit - m_used;
        if (held > left || bytes > (left - held) / 2)
            return false;
        if (m_account && !m_account->tryTake(bytes))
            return false;
        m_used += bytes;
        return true;
    }

    /// Releases reserved bytes.
    void releaseBytes(std::size_t bytes)
    {
        m_used -= std::min(bytes, m_used);
        if (m_account)
            m_account->giveBack(bytes);
    }

    /// @return the number of bytes that are reserved.
    std::size_t used() const { return m_used; }

private:
    const std::size_t m_limit;
    const std::shared_ptr<memory_account> m_account;
    std::size_t m_used = 0;
};

} // namespace clementinebeam
