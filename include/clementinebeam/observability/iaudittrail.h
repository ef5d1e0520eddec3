#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinebeam {

/// One change, as the audit trail keeps it.
struct audit_entry {
    std::string stream;       ///< "configuration" or "ownership".
    std::uint64_t offset = 0; ///< Position in the stream; the same on all instances.
    std::string action;
    std::string author;
    std::string subject;
    std::string result;
    std::string detail;
};

/// Changes in the order of their streams. Rebuilt from the log by every instance.
class i_audit_trail
{
public:
    virtual ~i_audit_trail() = default;

    /// Adds a change, and writes it to the process log.
    virtual void add(audit_entry entry) = 0;

    /// @param limit the most entries wanted.
    /// @return the newest entries, oldest first.
    virtual std::vector<audit_entry> newest(std::size_t limit) const = 0;
};

} // namespace clementinebeam
