#pragma once

#include <mutex>

namespace clementinebeam {

/// Limits second tries to a share of first tries, so that retries cannot multiply an overload.
class retry_budget
{
public:
    /// Counts a first try.
    void deposit();

    /// @return whether a second try may be made; it is then counted.
    bool withdraw();

private:
    static constexpr double DEPOSIT = 0.1;
    static constexpr double CAPACITY = 20.0;

    std::mutex m_mutex;
    double m_balance = CAPACITY;
};

} // namespace clementinebeam
