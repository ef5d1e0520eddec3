#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <array>
#include <optional>

namespace clementinebeam {

/// Records that were sent to the log and not read back yet; at most one of each kind.
///
/// A record is appended again under the same id until it is read back: the second copy is void at
/// every reader, so a lost answer does no harm.
class proposals
{
public:
    explicit proposals(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// @param record the record to append.
    /// @param now the current time.
    /// @param actions receives the append.
    void add(ownership_record record, instant now, action_list &actions);

    /// @param id id of a record that was read.
    void resolve(const record_id &id);

    /// Appends unresolved records again and drops those that became void.
    /// @param term the current term.
    /// @param now the current time.
    /// @param actions receives the appends.
    void retry(term_number term, instant now, action_list &actions);

    template <class body_type>
    bool has() const
    {
        return m_pending[ownership_body(body_type{}).index()].has_value();
    }

    template <class body_type>
    void drop()
    {
        m_pending[ownership_body(body_type{}).index()].reset();
    }

private:
    struct pending_record {
        ownership_record record;
        instant sentAt;
    };

    static bool isVoid(const ownership_body &body, term_number term);

    coordination_settings m_settings;
    std::array<std::optional<pending_record>, std::variant_size_v<ownership_body>> m_pending;
};

} // namespace clementinebeam
