#include "clementinebeam/http/httptypes.h"

#include <array>
#include <civetweb.h>

namespace clementinebeam {

namespace {

constexpr std::size_t MAX_PARAMETER_BYTES = 512;

} // namespace

std::string_view http_headers::find(std::string_view name) const
{
    const std::string wanted(name);
    for (const auto &entry : m_entries) {
        if (mg_strcasecmp(entry.name.c_str(), wanted.c_str()) == 0)
            return entry.value;
    }
    return {};
}

std::string http_request::parameter(const std::string &name) const
{
    std::array<char, MAX_PARAMETER_BYTES> value{};
    const int length =
            mg_get_var(query.data(), query.size(), name.c_str(), value.data(), value.size());
    return length < 0 ? std::string() : std::string(value.data(), static_cast<std::size_t>(length));
}

} // namespace clementinebeam
