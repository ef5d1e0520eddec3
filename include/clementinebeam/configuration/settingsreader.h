#pragma once

#include "clementinebeam/configuration/settingsproblem.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace clementinebeam {

/// Range of a number, both ends included.
template <class number_type>
struct value_range {
    number_type least;
    number_type most;
};

/// Reads the fields of one JSON object and collects every problem.
///
/// Fields that nobody asked for are reported by finish().
class settings_reader
{
public:
    settings_reader(const nlohmann::json &object, std::string path, settings_problems &problems);

    bool has(const std::string &field) const;

    /// @param field a field's name.
    /// @return the field's value, or null if it is missing; marks the field as known.
    const nlohmann::json *find(const std::string &field);

    /// Reads a field, or keeps the default if the field is missing and not required.
    void readText(const std::string &field, std::string &value, bool isRequired);
    void readFlag(const std::string &field, bool &value);
    void readReal(const std::string &field, double &value, value_range<double> range);
    void readTime(const std::string &field, std::chrono::milliseconds &value,
                  value_range<std::chrono::milliseconds> range);

    template <class integer_type>
    void readInteger(const std::string &field, integer_type &value, value_range<std::int64_t> range,
                     bool isRequired = false)
    {
        auto wide = static_cast<std::int64_t>(value);
        if (readWide(field, wide, range, isRequired))
            value = static_cast<integer_type>(wide);
    }

    /// @param field a field's name.
    /// @return its members if it is an object, else an empty object; a wrong type is a problem.
    const nlohmann::json &object(const std::string &field, bool isRequired);

    /// @param field a field's name.
    /// @return its elements if it is an array, else an empty array; a wrong type is a problem.
    const nlohmann::json &array(const std::string &field, bool isRequired);

    void report(const std::string &field, std::string expected, std::string found);
    std::string pathOf(const std::string &field) const;

    /// Reports every field that was not asked for.
    void finish();

private:
    bool readWide(const std::string &field, std::int64_t &value, value_range<std::int64_t> range,
                  bool isRequired);

    const nlohmann::json &m_object;
    std::string m_path;
    settings_problems &m_problems;
    std::set<std::string> m_known;
};

/// @param value a JSON value.
/// @return a short text of it for a problem.
std::string describe(const nlohmann::json &value);

} // namespace clementinebeam
