#pragma once

#include <string_view>

namespace clementinebeam {

/// Texts that other processes name and that are written into JSON bodies, headers and datagrams
/// again have to be plain: JSON takes only UTF-8, and a line break would end a header.
/// @param text any bytes.
/// @return whether the bytes are valid UTF-8 without control characters.
bool isPlainText(std::string_view text);

} // namespace clementinebeam
