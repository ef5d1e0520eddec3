#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinebeam {

/// One change of the configuration or of slot ownership.
struct audit_entry {
    std::string stream;       ///< "configuration" or "ownership".
    std::uint64_t offset = 0; ///< Offset of the record in its stream; the same on all instances.
    std::string action;
    std::string author;
    std::string subject;
    std::string result;
    std::string detail;
};

/// Recent configuration and ownership changes. Each instance rebuilds them from the log streams,
/// in the order of the records.
class i_audit_trail
{
public:
    virtual ~i_audit_trail() = default;

    /// Adds a change and writes it to the process log.
    /// @param entry the change.
    virtual void add(audit_entry entry) = 0;

    /// @param limit maximum number of entries.
    /// @return the newest entries, oldest first.
    virtual std::vector<audit_entry> newest(std::size_t limit) const = 0;
};

} // namespace clementinebeam
