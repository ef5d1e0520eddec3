#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace clementinebeam {

/// Severity of a log line, in ascending order.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Sets up logging to standard error.
/// @param instance instance name, written in each line.
/// @param level lowest level that is written.
void startLogging(const std::string &instance, log_level level);

/// Builds one log line of key=value pairs and writes it in the destructor.
class log_line
{
public:
    /// @param level severity of the line.
    /// @param event event name; becomes the first pair, event=NAME.
    log_line(log_level level, std::string_view event);
    ~log_line();
    log_line(const log_line &) = delete;
    log_line &operator=(const log_line &) = delete;

    /// Appends a pair.
    /// @param key the key; must not contain spaces or '='.
    /// @param value the value; quoted if it is empty or contains spaces, quotes, '=' or control
    ///        characters.
    /// @return this line.
    log_line &add(std::string_view key, std::string_view value);

    template <class number_type>
    requires std::is_arithmetic_v<number_type> log_line &add(std::string_view key,
                                                             number_type value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

private:
    log_level m_level;
    std::string m_text;
};

} // namespace clementinebeam
