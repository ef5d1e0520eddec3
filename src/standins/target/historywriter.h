#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <fstream>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace clementinebeam {

/// Appends events to a file as JSON lines, on the clock that all processes of a machine share.
class history_writer
{
public:
    /// @param path the file; empty to write nothing.
    explicit history_writer(const std::string &path);

    /// @param event the event; "time_us" is added.
    void write(nlohmann::json event);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace clementinebeam
