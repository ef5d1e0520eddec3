#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementinebeam::test {

/// What callers and targets saw, checked against the users' promises while it is recorded.
class run_history
{
public:
    /// A target began to work on a request.
    /// @param holders targets that hold the request's key at that moment; empty without a key.
    void noteRun(const std::string &id, bool isIdempotent, const std::string &target,
                 const std::vector<std::string> &holders);

    /// A caller got an answer.
    /// @param promisesNotRun whether its status says that the request has not run and won't.
    void noteAnswer(const std::string &id, unsigned status, bool promisesNotRun,
                    const std::string &problem);

    /// A target accepted a key with a fencing token.
    void noteFence(std::uint32_t key, std::uint64_t fence, const std::string &target);

    bool hasRun(const std::string &id) const { return m_runs.contains(id); }

    void addViolation(const std::string &text);

    /// Checks what can be said only at the end.
    /// @return everything that broke a promise.
    const std::vector<std::string> &finish();

    std::size_t answered() const { return m_answered; }
    std::size_t rejected() const { return m_promised.size(); }
    std::size_t failed() const { return m_failed; }
    std::size_t runs() const { return m_runs.size(); }

private:
    static constexpr std::size_t MAX_VIOLATIONS = 20;

    std::map<std::string, int> m_runs;
    std::set<std::string> m_promised;
    std::map<std::uint32_t, std::pair<std::uint64_t, std::string>> m_fences; ///< Highest by key.
    std::vector<std::string> m_violations;
    std::size_t m_answered = 0;
    std::size_t m_failed = 0;
};

} // namespace clementinebeam::test
