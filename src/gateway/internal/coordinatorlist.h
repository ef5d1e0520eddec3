#pragma once

#include "clementinebeam/kernel/identifiers.h"
#include "internal/peerchannel.h"

#include <map>
#include <optional>

namespace clementinebeam {

/// Holds the newest known coordinator of each service, which is asked for placements.
///
/// During a partial outage of the store, an instance whose calls the store refuses would go on
/// asking a lost coordinator. A not_coordinator_message of another instance is therefore accepted
/// as well as records of the store; the higher term wins. A message that names a wrong coordinator
/// costs only an unanswered message, as ownership of keys is never derived from it.
class coordinator_list
{
public:
    struct known_coordinator {
        std::uint64_t term = 0;
        udp_endpoint peer;

        bool operator==(const known_coordinator &) const = default;
    };

    /// Records a coordinator that the store or another instance named.
    /// @param service the service.
    /// @param coordinator its coordinator and the term of that.
    /// @return whether its term is higher than the highest known so far.
    bool note(const service_name &service, const known_coordinator &coordinator);

    /// @return the newest known coordinator of the service, or nothing if none is known.
    std::optional<known_coordinator> find(const service_name &service) const;

    /// @return the newest known coordinator of each service.
    const std::map<service_name, known_coordinator> &all() const { return m_coordinators; }

private:
    std::map<service_name, known_coordinator> m_coordinators;
};

} // namespace clementinebeam
