#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace clementinebeam {

/// A column of a table: a heading and the field that it shows.
struct table_column {
    std::string heading;
    std::string field;
};

/// @param rows an array of objects.
/// @param columns what to show.
/// @return an aligned table with a heading.
std::string formatTable(const nlohmann::json &rows, const std::vector<table_column> &columns);

/// @param value any JSON value.
/// @return it as one cell of a table.
std::string formatCell(const nlohmann::json &value);

} // namespace clementinebeam
