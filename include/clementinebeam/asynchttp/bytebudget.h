#pragma once

#include <algorithm>
#include <cstddef>

namespace clementinebeam {

/// Limits the memory for answers that are being received, as a sum over all connections that share
/// the budget.
///
/// Protects against many faulty peers that send endless data at once: a limit for each answer alone
/// would have to be far below the size of valid answers.
class byte_budget
{
public:
    /// @param limit largest sum of reserved bytes.
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    { }

    /// Reserves bytes unless that would exceed the limit.
    /// @return whether the bytes were reserved.
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    /// Releases reserved bytes.
    void releaseBytes(std::size_t bytes) { m_used -= std::min(bytes, m_used); }

    /// @return the number of bytes that are reserved.
    std::size_t used() const { return m_used; }

private:
    const std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace clementinebeam
