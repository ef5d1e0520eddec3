#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/storeera.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinebeam {

/// A record of the store by which operators evacuate a data centre or take it back.
struct evacuation_change {
    std::string dataCentre;
    bool isEvacuated = false;
};

/// An evacuation as instances tell it each other; clocks of instances differ.
struct evacuation_note {
    std::string dataCentre;
    std::chrono::milliseconds age{0}; ///< Time since it was first known.
};

/// The data centres that are evacuated.
///
/// The state follows from the records of a stream up to a position, its version, so that of two
/// states the one with the higher version counts, whoever tells it. After the store has come back
/// from an older copy, an evacuation that is missing there stands for REWRITE_TIME, as operators
/// write it again. Does no I/O and reads no clock.
class evacuation_view
{
public:
    /// For each evacuated data centre, when this instance first knew of it.
    using evacuation_map = std::map<std::string, instant>;

    /// Applies what was read from the stream.
    /// @param changes the records read, oldest first.
    /// @param version the position up to which the stream was read.
    /// @param isComplete whether the changes are the newest record of each data centre, and none
    ///     has still to be written again, so that others are not evacuated.
    /// @param now the present time.
    /// @return whether the set of evacuated data centres has changed.
    bool apply(const std::vector<evacuation_change> &changes, store_position version,
               bool isComplete, instant now);

    /// Takes over what another instance told, if it is newer.
    /// @param version the version of its state.
    /// @param evacuations all data centres that it knows as evacuated.
    /// @param now the present time.
    /// @return whether the set of evacuated data centres has changed.
    bool merge(store_position version, const std::vector<evacuation_note> &evacuations,
               instant now);

    store_position version() const { return m_version; }
    const evacuation_map &evacuated() const { return m_evacuated; }

    /// @return the state as told to other instances.
    std::vector<evacuation_note> notes(instant now) const;

private:
    bool replace(evacuation_map evacuated, store_position version, instant now);

    store_position m_version;
    instant m_settlesAt{};  ///< Until then, evacuations may be missing that are written again.
    bool m_isKnown = false; ///< The stream was read, or another instance told its state.
    evacuation_map m_evacuated;
};

} // namespace clementinebeam
