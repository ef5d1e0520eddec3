#pragma once

#include <optional>
#include <string>

namespace clementinebeam {

/// @param path path of the file.
/// @return the file's content, or nothing if the file cannot be opened.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace clementinebeam
