#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace clementinebeam {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Sets up logging to standard error.
/// @param instance name that each line carries.
/// @param level the least severe level that is written.
void startLogging(const std::string &instance, log_level level);

/// Builds one log line of key=value pairs; written when the builder is destroyed.
class log_line
{
public:
    log_line(log_level level, std::string_view event);
    ~log_line();
    log_line(const log_line &) = delete;
    log_line &operator=(const log_line &) = delete;

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
