#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/identifiers.h"

#include <string>
#include <vector>

namespace clementinebeam {

/// One record of a stream of the platform's log.
struct log_entry {
    log_offset offset = 0;
    std::string payload;
};

/// Consecutive records of a stream, as returned by one read.
struct log_batch {
    log_offset firstOffset = 0; ///< First offset that is still stored.
    log_offset nextOffset = 0;  ///< Offset of the next record to be appended.
    std::vector<log_entry> entries;
};

/// Role of an entry in the instance list.
enum class listed_role {
    Instance,
    Target,
};

/// One entry of the platform's instance list.
struct listing {
    std::string id;
    listed_role role = listed_role::Instance;
    bool leaving = false;
    std::string dataCentre;
    network_address address;    ///< Where an instance accepts callers, or a target requests.
    std::uint16_t peerPort = 0; ///< UDP and TCP port for other instances; 0 for a target.
    service_name service;       ///< Service of a target; empty for an instance.
};

} // namespace clementinebeam
