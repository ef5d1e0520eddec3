#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"

#include <map>

namespace clementinebeam {

/// Targets as the platform's store lists them.
///
/// A target whose entry is gone stays known for a while as a leaving one, because keys may have to
/// be taken back from it. Entries that vanish around an outage of the store are kept until the
/// store had time to list them again. Does no I/O.
class target_directory
{
public:
    struct listed_target {
        target_entry entry;
        bool isGone = false;
        instant leavingSince{}; ///< When it was first seen draining or gone; zero if neither.
        std::chrono::milliseconds ownerTime{
                0}; ///< It may get requests for its keys that much longer.

        bool isLeaving() const { return isGone || entry.isDraining; }

        /// @return until when the target may get requests for keys that it owns, while these move.
        instant ownerUntil() const;

        /// @param isKeyed whether only the owner of the request's key may run it.
        /// @return whether a request may be sent to the target.
        bool mayTake(bool isKeyed, instant now) const
        {
            return !isLeaving() || (isKeyed && now < ownerUntil());
        }

        /// @return the target for a dispatcher.
        dispatch_target forDispatch() const;
    };

    using target_map = std::map<target_id, listed_target>;

    /// @param drain how long after its notice a leaving target may get requests.
    explicit target_directory(std::chrono::milliseconds drain = std::chrono::milliseconds(2000));

    /// Takes a new or changed entry.
    /// @return whether anything changed.
    bool update(const target_entry &entry, instant now);

    /// Takes the removal of an entry.
    /// @return whether anything changed.
    bool remove(const target_id &id, instant now);

    /// Replaces all entries by a whole listing.
    void replaceAll(const std::vector<target_entry> &entries, instant now);

    /// Tells whether the last read of the store succeeded.
    void setStoreReachable(bool isReachable, instant now);

    /// @return whether the last read of the store succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

    /// Carries out removals that were put off, and forgets targets that are long gone.
    /// @return whether anything changed.
    bool advance(instant now);

    /// @return the target, or null if it is not known.
    const listed_target *find(const target_id &id) const;

    const target_map &targets() const { return m_targets; }

    /// @return a number that rises with each change.
    std::uint64_t revision() const { return m_revision; }

private:
    bool isRecovering(instant now) const;
    void markGone(listed_target &target, instant now);

    const std::chrono::milliseconds m_ownerTime;
    target_map m_targets;
    std::map<target_id, instant> m_pendingRemovals;
    bool m_isStoreReachable = true;
    instant m_outageEnd{};
    std::uint64_t m_revision = 1;
};

} // namespace clementinebeam
