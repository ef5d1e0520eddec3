#pragma once

#include "clementinebeam/kernel/result.h"

#include <string>
#include <string_view>

namespace clementinebeam {

/// @param bytes any bytes.
/// @return their Base64 text.
std::string encodeBase64(std::string_view bytes);

/// @param text Base64 text.
/// @return its bytes, or BadMessage.
result<std::string> decodeBase64(std::string_view text);

} // namespace clementinebeam
