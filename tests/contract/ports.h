#pragma once

#include "clementinebeam/http/httptypes.h"

namespace clementinebeam {

/// @param number offset from the first test port; unique among the servers of a test program.
/// @return a loopback address with a fixed port.
inline network_address testAddress(std::uint16_t number)
{
    constexpr std::uint16_t FIRST_PORT = 24500;
    return {"127.0.0.1", static_cast<std::uint16_t>(FIRST_PORT + number)};
}

} // namespace clementinebeam
