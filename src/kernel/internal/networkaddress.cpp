#include "clementinebeam/kernel/networkaddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace clementinebeam {

std::optional<network_address> parseNetworkAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    network_address address;
    address.host = text.substr(0, colon);
    const auto *end = text.data() + text.size();
    const auto [portEnd, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    in_addr parsed{};
    const bool isValid = error == std::errc{} && portEnd == end && address.port > 0
            && inet_pton(AF_INET, address.host.c_str(), &parsed) == 1;
    return isValid ? std::optional(address) : std::nullopt;
}

} // namespace clementinebeam
