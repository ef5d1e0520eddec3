#pragma once

#include "clementinebeam/kernel/identifiers.h"
#include "internal/peerchannel.h"

#include <map>
#include <optional>

namespace clementinebeam {

/// Knows which instance to ask for places at a service's targets.
///
/// Answers takeovers during partial outages of the store: an instance that the store refuses
/// would ask a lost coordinator until the store serves it again. What peers tell counts as well as
/// the store's records; of both, the higher term names the coordinator. A wrong hint costs only a
/// question without an answer, as ownership never follows from it.
class coordinator_list
{
public:
    struct known_coordinator {
        std::uint64_t term = 0;
        udp_endpoint peer;

        bool operator==(const known_coordinator &) const = default;
    };

    /// Takes a record of the store or a peer's hint.
    /// @return whether it named a coordinator of a higher term than was known.
    bool note(const service_name &service, const known_coordinator &coordinator);

    /// @return the newest coordinator, or nothing if none is known.
    std::optional<known_coordinator> find(const service_name &service) const;

    const std::map<service_name, known_coordinator> &all() const { return m_coordinators; }

private:
    std::map<service_name, known_coordinator> m_coordinators;
};

} // namespace clementinebeam
