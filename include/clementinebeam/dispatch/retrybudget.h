#pragma once

#include <mutex>

namespace clementinebeam {

/// Limits second tries to a share of first tries, so that retries cannot multiply an overload.
///
/// A token bucket: in any window, second tries stay below the capacity plus the share of the first
/// tries in that window.
class retry_budget
{
public:
    static constexpr double DEFAULT_SHARE = 0.1;
    static constexpr double DEFAULT_CAPACITY = 20.0;

    /// @param share second tries that each first try pays for.
    /// @param capacity most second tries that may be saved up.
    explicit retry_budget(double share = DEFAULT_SHARE, double capacity = DEFAULT_CAPACITY)
        : m_share(share)
        , m_capacity(capacity)
        , m_balance(capacity)
    { }

    /// Counts a first try.
    void deposit();

    /// @return whether a second try may be made; it is then counted.
    bool withdraw();

private:
    const double m_share;
    const double m_capacity;
    std::mutex m_mutex;
    double m_balance;
};

} // namespace clementinebeam
