#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace clementinebeam {

/// A column of a table: its heading and the JSON field that it shows.
struct table_column {
    std::string heading;
    std::string field;
};

/// @param rows an array of objects.
/// @param columns columns from left to right.
/// @return a table with aligned columns and a line of headings; "-" stands for a missing field.
std::string formatTable(const nlohmann::json &rows, const std::vector<table_column> &columns);

/// @param value any JSON value.
/// @return text of a table cell: arrays are joined by commas, null and empty values are "-".
std::string formatCell(const nlohmann::json &value);

} // namespace clementinebeam
