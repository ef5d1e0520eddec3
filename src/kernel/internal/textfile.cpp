#include "clementinebeam/kernel/textfile.h"

#include <fstream>
#include <sstream>

namespace clementinebeam {

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace clementinebeam
