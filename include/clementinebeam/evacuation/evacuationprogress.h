#pragma once

#include "clementinebeam/evacuation/evacuationview.h"
#include "clementinebeam/kernel/identifiers.h"

#include <set>
#include <utility>
#include <vector>

namespace clementinebeam {

/// What a service still has in an evacuated data centre.
struct evacuation_remainder {
    service_name service;
    std::string dataCentre;
    std::size_t keys = 0;     ///< Keys that its targets there are assigned.
    std::size_t requests = 0; ///< Requests that run there.
};

/// Tells when services have left an evacuated data centre. Does no I/O and reads no clock.
class evacuation_progress
{
public:
    /// @param evacuated the evacuated data centres.
    /// @param remainders the state of each service that has targets there.
    /// @return those that have nothing there any more, once for each evacuation.
    std::vector<evacuation_remainder> update(const evacuation_view::evacuation_map &evacuated,
                                             const std::vector<evacuation_remainder> &remainders);

private:
    std::set<std::pair<std::string, service_name>> m_done; ///< Data centre and service.
};

} // namespace clementinebeam
