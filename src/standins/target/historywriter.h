#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <fstream>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace clementinebeam {

/// Appends events to a file as JSON lines, with timestamps of the boot clock, which all processes
/// of a machine share. Thread-safe.
class history_writer
{
public:
    /// @param path path of the file; empty to discard all events.
    explicit history_writer(const std::string &path);

    /// @param event JSON object; the time of the call is added as "time_us", in microseconds.
    void write(nlohmann::json event);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace clementinebeam
