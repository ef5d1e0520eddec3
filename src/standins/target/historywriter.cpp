#include "historywriter.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

history_writer::history_writer(const std::string &path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void history_writer::write(nlohmann::json event)
{
    const std::lock_guard lock(m_mutex);
    if (!m_file.is_open())
        return;
    event["time_us"] = boot_clock::now().time_since_epoch().count();
    // Flushed so that the event survives a kill of the process.
    m_file << event.dump() << '\n' << std::flush;
}

} // namespace clementinebeam
