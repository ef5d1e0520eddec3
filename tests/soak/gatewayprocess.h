#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace clementinebeam::test {

/// A gateway process; killed with SIGKILL when this object is destroyed.
class gateway_process
{
public:
    /// @param name the instance's name; also names its files.
    /// @param folder where the settings and the log are written.
    /// @param settings text of the settings file.
    gateway_process(std::string name, const std::string &folder, const std::string &settings);
    ~gateway_process();
    gateway_process(const gateway_process &) = delete;
    gateway_process &operator=(const gateway_process &) = delete;

    /// Starts the process with the settings file; its output is appended to the log.
    void start();

    /// Sends a signal to the process; does nothing if it doesn't run.
    void signal(int number);

    /// Reaps the process if it has ended, and then sets exitStatus(); to be called periodically.
    /// @return whether the process runs.
    bool isRunning();

    /// @return the exit status of the last run, or the negative signal that ended it.
    int exitStatus() const { return m_exitStatus; }

    const std::string &name() const { return m_name; }

    /// @return the id of the running process; 0 if there is none.
    pid_t id() const { return m_process; }

private:
    const std::string m_name;
    const std::string m_settingsPath;
    const std::string m_logPath;
    pid_t m_process = 0;
    int m_exitStatus = 0;
};

} // namespace clementinebeam::test
