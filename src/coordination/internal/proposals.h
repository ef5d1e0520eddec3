#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <array>
#include <optional>

namespace clementinebeam {

/// Records that were appended to the log and not read back yet; at most one of each type.
///
/// A record is appended again with the same id until it is read back. Replay voids a second copy of
/// a claim or move, and a second settled record changes nothing, so appending twice after a lost
/// reply is harmless.
class proposals
{
public:
    explicit proposals(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Appends a record and replaces a pending one of the same type.
    /// @param record the record to append.
    /// @param now the current time.
    /// @param actions receives the append.
    void add(ownership_record record, instant now, action_list &actions);

    /// Removes a record that was read back.
    /// @param id id of a record that was read from the log.
    void resolve(const record_id &id);

    /// Appends pending records again when due and drops those that became void.
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

    /// @return whether replay would reject the record because it was built on another term.
    static bool isVoid(const ownership_body &body, term_number term);

    coordination_settings m_settings;
    std::array<std::optional<pending_record>, std::variant_size_v<ownership_body>> m_pending;
};

} // namespace clementinebeam
