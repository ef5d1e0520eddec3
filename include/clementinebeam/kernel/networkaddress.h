#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinebeam {

/// Address and port of a listening process.
struct network_address {
    std::string host; ///< Numeric IP address.
    std::uint16_t port = 0;

    auto operator<=>(const network_address &) const = default;

    /// @return "host:port".
    std::string text() const { return host + ':' + std::to_string(port); }
};

/// @param text a numeric IPv4 address and a port above 0, such as "10.1.0.18:8381".
/// @return the address, or nothing if the text is malformed.
std::optional<network_address> parseNetworkAddress(std::string_view text);

} // namespace clementinebeam
