#include "processstatus.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace clementinebeam::test {

namespace {

constexpr std::size_t KB_PER_MB = 1024;

} // namespace

std::size_t peakMemoryMbOf(pid_t process)
{
    const std::string field = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind(field, 0) == 0)
            return std::stoul(line.substr(field.size())) / KB_PER_MB;
    }
    return 0;
}

std::size_t descriptorsOf(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                      error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace clementinebeam::test
