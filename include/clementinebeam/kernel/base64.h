#pragma once

#include "clementinebeam/kernel/result.h"

#include <string>
#include <string_view>

namespace clementinebeam {

/// @param bytes the bytes to encode; may contain zero bytes.
/// @return the padded Base64 text, without line breaks.
std::string encodeBase64(std::string_view bytes);

/// @param text padded Base64 text.
/// @return the decoded bytes, or BadMessage if the text is not valid Base64.
result<std::string> decodeBase64(std::string_view text);

} // namespace clementinebeam
