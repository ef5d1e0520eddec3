#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/identifiers.h"

#include <string>
#include <vector>

namespace clementinebeam {

/// One record as the platform's log keeps it.
struct log_entry {
    log_offset offset = 0;
    std::string payload;
};

/// Part of a stream.
struct log_batch {
    log_offset firstOffset = 0; ///< First offset that is still kept.
    log_offset nextOffset = 0;  ///< Offset that the next append will get.
    std::vector<log_entry> entries;
};

/// What a listed machine is.
enum class listed_role {
    Instance,
    Target,
};

/// One line of the platform's instance list.
struct listing {
    std::string id;
    listed_role role = listed_role::Instance;
    bool leaving = false;
    std::string dataCentre;
    network_address address;    ///< Caller address of an instance, request address of a target.
    std::uint16_t peerPort = 0; ///< Of an instance, for UDP and TCP.
    service_name service;       ///< Of a target.
};

} // namespace clementinebeam
