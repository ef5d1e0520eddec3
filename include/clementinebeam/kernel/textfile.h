#pragma once

#include <optional>
#include <string>

namespace clementinebeam {

/// @param path a file's path.
/// @return the file's content, or nothing if it can't be read.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace clementinebeam
