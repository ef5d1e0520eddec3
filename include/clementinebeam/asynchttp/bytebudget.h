#pragma once

#include <algorithm>
#include <cstddef>

namespace clementinebeam {

/// Bounds the memory of answers that are being received on all connections that share it.
///
/// Answers peers in trouble that send bytes without end, many of them at once: a limit for each
/// answer alone would have to be far below the size of sound answers.
class byte_budget
{
public:
    /// @param limit most bytes that may be taken at a time.
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    { }

    /// @return whether the bytes were still to be had; they are then taken.
    bool take(std::size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    void giveBack(std::size_t bytes) { m_used -= std::min(bytes, m_used); }

    std::size_t used() const { return m_used; }

private:
    const std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace clementinebeam
