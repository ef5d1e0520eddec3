#pragma once

#include "clementinebeam/kernel/storeera.h"

#include <functional>
#include <utility>

namespace clementinebeam {

/// Follows the era that the store names in its answers. It only rises: an answer of an earlier era
/// was sent before the store came back from a copy, and what it tells is no longer so.
class era_tracker
{
public:
    using rise_handler = std::function<void(store_era)>;

    /// @param handler called with each later era that is named, before note() returns.
    void setRiseHandler(rise_handler handler) { m_onRise = std::move(handler); }

    /// Notes the era that an answer names.
    /// @return whether the answer counts; false if it is of an earlier era.
    bool note(store_era named)
    {
        if (named < m_current)
            return false;
        if (named > m_current) {
            m_current = named;
            if (m_onRise)
                m_onRise(named);
        }
        return true;
    }

    /// @return the latest era that was named; the first one if none was.
    store_era current() const { return m_current; }

private:
    store_era m_current{};
    rise_handler m_onRise;
};

} // namespace clementinebeam
