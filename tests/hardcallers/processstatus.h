#pragma once

#include <cstddef>
#include <sys/types.h>

namespace clementinebeam::test {

/// @return the largest resident memory that a process has had, in MB; 0 if there is no process.
std::size_t peakMemoryMbOf(pid_t process);

/// @return the number of descriptors that a process has open.
std::size_t descriptorsOf(pid_t process);

} // namespace clementinebeam::test
