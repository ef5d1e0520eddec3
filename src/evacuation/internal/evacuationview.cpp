#include "clementinebeam/evacuation/evacuationview.h"

#include <algorithm>

namespace clementinebeam {

bool evacuation_view::apply(const std::vector<evacuation_change> &changes, store_position version,
                            bool isComplete, instant now)
{
    // Another instance has told of records that this read doesn't contain.
    if (m_isKnown && version < m_version)
        return false;
    // An evacuation that is found at the start may have begun long ago.
    const auto since = m_isKnown ? now : instant{};
    evacuation_map updated;
    if (!isComplete)
        updated = m_evacuated;
    for (const auto &change : changes) {
        const auto known = m_evacuated.find(change.dataCentre);
        if (!change.isEvacuated)
            updated.erase(change.dataCentre);
        else
            updated.emplace(change.dataCentre, known == m_evacuated.end() ? since : known->second);
    }
    return replace(std::move(updated), version, now);
}

bool evacuation_view::merge(store_position version, const std::vector<evacuation_note> &evacuations,
                            instant now)
{
    if (m_isKnown && version <= m_version)
        return false;
    // The other instance may know nothing but the copy.
    const bool isSettling = version.era > m_version.era || now < m_settlesAt;
    evacuation_map updated;
    if (isSettling)
        updated = m_evacuated;
    for (const auto &item : evacuations) {
        const auto known = m_evacuated.find(item.dataCentre);
        const auto told = now - item.age;
        updated[item.dataCentre] =
                known == m_evacuated.end() ? told : std::min(told, known->second);
    }
    return replace(std::move(updated), version, now);
}

bool evacuation_view::replace(evacuation_map evacuated, store_position version, instant now)
{
    const bool hasChanged = !std::equal(
            evacuated.begin(), evacuated.end(), m_evacuated.begin(), m_evacuated.end(),
            [](const auto &left, const auto &right) { return left.first == right.first; });
    if (m_isKnown && version.era > m_version.era)
        m_settlesAt = now + REWRITE_TIME;
    m_version = version;
    m_isKnown = true;
    m_evacuated = std::move(evacuated);
    return hasChanged;
}

std::vector<evacuation_note> evacuation_view::notes(instant now) const
{
    std::vector<evacuation_note> result;
    for (const auto &[dataCentre, since] : m_evacuated)
        result.push_back(
                {dataCentre, std::chrono::duration_cast<std::chrono::milliseconds>(now - since)});
    return result;
}

} // namespace clementinebeam
