#include "clementinebeam/kernel/bootclock.h"

#include <ctime>

namespace clementinebeam {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot =
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

wall_time wallNow() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

} // namespace clementinebeam
