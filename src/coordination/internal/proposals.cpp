#include "internal/proposals.h"

namespace clementinebeam {

void proposals::add(ownership_record record, instant now, action_list &actions)
{
    actions.appends.push_back({record});
    auto &entry = m_pending[record.body.index()];
    entry = pending_record{std::move(record), now};
}

void proposals::resolve(const record_id &id)
{
    for (auto &pending : m_pending) {
        if (pending && pending->record.id == id)
            pending.reset();
    }
}

void proposals::retry(term_number term, instant now, action_list &actions)
{
    for (auto &pending : m_pending) {
        if (!pending)
            continue;
        if (isVoid(pending->record.body, term)) {
            pending.reset();
            continue;
        }
        if (now - pending->sentAt < m_settings.appendRetryInterval)
            continue;
        pending->sentAt = now;
        actions.appends.push_back({pending->record});
    }
}

bool proposals::isVoid(const ownership_body &body, term_number term)
{
    if (const auto *claim = std::get_if<claim_record>(&body))
        return claim->previousTerm != term;
    if (const auto *move = std::get_if<move_record>(&body))
        return move->term != term;
    if (const auto *settled = std::get_if<settled_record>(&body))
        return settled->term != term;
    return std::get<checkpoint_record>(body).state.term != term;
}

} // namespace clementinebeam
