#include "formatter.h"

#include <algorithm>

namespace clementinebeam {

std::string formatCell(const nlohmann::json &value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return value.get_ref<const std::string &>().empty() ? "-" : value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (!value.is_array())
        return value.dump();
    std::string text;
    for (const auto &item : value)
        text += (text.empty() ? "" : ", ") + formatCell(item);
    return text.empty() ? "-" : text;
}

std::string formatTable(const nlohmann::json &rows, const std::vector<table_column> &columns)
{
    std::vector<std::vector<std::string>> cells;
    std::vector<std::size_t> widths;
    cells.emplace_back();
    for (const auto &column : columns) {
        cells.back().push_back(column.heading);
        widths.push_back(column.heading.size());
    }
    for (const auto &row : rows) {
        cells.emplace_back();
        for (std::size_t index = 0; index < columns.size(); ++index) {
            auto cell = row.contains(columns[index].field) ? formatCell(row[columns[index].field])
                                                           : "-";
            widths[index] = std::max(widths[index], cell.size());
            cells.back().push_back(std::move(cell));
        }
    }
    std::string text;
    for (const auto &line : cells) {
        std::string padded;
        for (std::size_t index = 0; index < line.size(); ++index) {
            padded += line[index];
            padded.append(widths[index] - line[index].size() + 2, ' ');
        }
        padded.erase(padded.find_last_not_of(' ') + 1);
        text += padded + '\n';
    }
    return text;
}

} // namespace clementinebeam
