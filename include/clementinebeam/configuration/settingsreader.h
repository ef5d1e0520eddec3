#pragma once

#include "clementinebeam/configuration/settingsproblem.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace clementinebeam {

/// Closed range of a number.
template <class number_type>
struct value_range {
    number_type least;
    number_type most;
};

/// Reads the fields of one JSON object and collects all problems instead of stopping at the first.
///
/// A read function leaves the value unchanged if the field is missing, has the wrong type or is out
/// of range, and reports a problem unless the field is missing and not required. finish() reports
/// the fields that were never read. The object and the list of problems must outlive the reader.
class settings_reader
{
public:
    /// @param object the JSON object; any other type is reported and read as an empty object.
    /// @param path path of the object in the document; empty for the document itself.
    /// @param problems receives the problems.
    settings_reader(const nlohmann::json &object, std::string path, settings_problems &problems);

    /// @return whether the object has the field, of whatever type.
    bool has(const std::string &field) const;

    /// @param field a field's name.
    /// @return the field's value, or null if it is missing; finish() no longer reports the field.
    const nlohmann::json *find(const std::string &field);

    /// Reads a string.
    /// @param field the field's name.
    /// @param value receives the value; holds the default before the call.
    /// @param isRequired whether the field must be present and not empty.
    void readString(const std::string &field, std::string &value, bool isRequired);

    /// Reads an optional boolean.
    void readBool(const std::string &field, bool &value);

    /// Reads an optional number.
    void readDouble(const std::string &field, double &value, value_range<double> range);

    /// Reads an optional integer number of milliseconds.
    void readMilliseconds(const std::string &field, std::chrono::milliseconds &value,
                          value_range<std::chrono::milliseconds> range);

    /// Reads an integer.
    template <class integer_type>
    void readInteger(const std::string &field, integer_type &value, value_range<std::int64_t> range,
                     bool isRequired = false)
    {
        auto int64Value = static_cast<std::int64_t>(value);
        if (readInt64(field, int64Value, range, isRequired))
            value = static_cast<integer_type>(int64Value);
    }

    /// @param field a field's name.
    /// @param isRequired whether a missing field is reported.
    /// @return the field's value if it is an object, else an empty object; reports a wrong type.
    const nlohmann::json &object(const std::string &field, bool isRequired);

    /// @param field a field's name.
    /// @param isRequired whether a missing field is reported.
    /// @return the field's value if it is an array, else an empty array; reports a wrong type.
    const nlohmann::json &array(const std::string &field, bool isRequired);

    /// Adds a problem.
    /// @param field the field's name.
    /// @param expected the values that the field accepts.
    /// @param found the value in the document.
    void report(const std::string &field, std::string expected, std::string found);

    /// @param field a field's name.
    /// @return path of the field in the document.
    std::string pathOf(const std::string &field) const;

    /// Reports every field of the object that was never read, such as a misspelt one.
    void finish();

private:
    bool readInt64(const std::string &field, std::int64_t &value, value_range<std::int64_t> range,
                   bool isRequired);

    const nlohmann::json &m_object;
    std::string m_path;
    settings_problems &m_problems;
    std::set<std::string> m_requestedFields;
};

/// @param value a JSON value.
/// @return its JSON text, shortened to about 60 bytes.
std::string describe(const nlohmann::json &value);

} // namespace clementinebeam
