#pragma once

#include <utility>

namespace clementinebeam {

/// Calls a function when the enclosing scope is left, also by an exception. Used where a step has
/// to leave its state complete: flags cleared, timers set, the next read started.
template <class function_type>
class scope_exit
{
public:
    /// @param function called by the destructor; must not throw.
    explicit scope_exit(function_type function)
        : m_function(std::move(function))
    { }

    ~scope_exit() { m_function(); }
    scope_exit(const scope_exit &) = delete;
    scope_exit &operator=(const scope_exit &) = delete;

private:
    function_type m_function;
};

} // namespace clementinebeam
