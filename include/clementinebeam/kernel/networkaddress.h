#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinebeam {

/// Where a process listens.
struct network_address {
    std::string host; ///< IP number.
    std::uint16_t port = 0;

    auto operator<=>(const network_address &) const = default;
    std::string text() const { return host + ':' + std::to_string(port); }
};

/// @param text an IPv4 number and a port, as in "10.1.0.18:8381".
/// @return the address, or nothing if the text is not of that form.
std::optional<network_address> parseNetworkAddress(std::string_view text);

} // namespace clementinebeam
