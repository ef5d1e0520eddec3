#pragma once

#include "clementinebeam/http/httptypes.h"

namespace clementinebeam {

/// @param number distinguishes the servers of one test program.
/// @return an address for a server.
inline network_address testAddress(std::uint16_t number)
{
    constexpr std::uint16_t FIRST_PORT = 24500;
    return {"127.0.0.1", static_cast<std::uint16_t>(FIRST_PORT + number)};
}

} // namespace clementinebeam
