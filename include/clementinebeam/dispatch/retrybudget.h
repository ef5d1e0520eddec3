#pragma once

#include <mutex>

namespace clementinebeam {

/// Limits retries to a share of first attempts, so that retries cannot amplify an overload.
///
/// A token bucket: in any time window, retries stay within the capacity plus the share of the first
/// attempts in that window. Thread-safe.
class retry_budget
{
public:
    static constexpr double DEFAULT_SHARE = 0.1;
    static constexpr double DEFAULT_CAPACITY = 20.0;

    /// @param share retries that each first attempt adds to the budget.
    /// @param capacity largest number of retries in the budget; it starts full.
    explicit retry_budget(double share = DEFAULT_SHARE, double capacity = DEFAULT_CAPACITY)
        : m_share(share)
        , m_capacity(capacity)
        , m_balance(capacity)
    { }

    /// Counts a first attempt.
    void deposit();

    /// Takes one retry from the budget.
    /// @return whether the retry may be made; false leaves the budget unchanged.
    bool withdraw();

private:
    const double m_share;
    const double m_capacity;
    std::mutex m_mutex;
    double m_balance;
};

} // namespace clementinebeam
