#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace clementinebeam::test {

/// One gateway as a process of its own; killed when this object is destroyed.
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

    void start();

    /// Sends a signal to this process only.
    void signal(int number);

    /// Looks whether the process has ended; to be called now and then.
    /// @return whether it runs.
    bool isRunning();

    /// @return the exit status of the last run, or the negative signal that ended it.
    int exitStatus() const { return m_exitStatus; }

    const std::string &name() const { return m_name; }

private:
    const std::string m_name;
    const std::string m_settingsPath;
    const std::string m_logPath;
    pid_t m_process = 0;
    int m_exitStatus = 0;
};

} // namespace clementinebeam::test
