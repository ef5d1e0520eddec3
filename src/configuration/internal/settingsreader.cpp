#include "clementinebeam/configuration/settingsreader.h"

namespace clementinebeam {

namespace {

constexpr std::size_t MAX_DESCRIPTION_BYTES = 60;

const nlohmann::json EMPTY_OBJECT = nlohmann::json::object();
const nlohmann::json EMPTY_ARRAY = nlohmann::json::array();

template <class number_type>
std::string rangeText(const char *kind, value_range<number_type> range)
{
    return std::string(kind) + " from " + nlohmann::json(range.least).dump() + " to "
            + nlohmann::json(range.most).dump();
}

} // namespace

std::string describe(const nlohmann::json &value)
{
    auto text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > MAX_DESCRIPTION_BYTES)
        text = text.substr(0, MAX_DESCRIPTION_BYTES) + "...";
    return text;
}

settings_reader::settings_reader(const nlohmann::json &object, std::string path,
                                 settings_problems &problems)
    : m_object(object.is_object() ? object : EMPTY_OBJECT)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!object.is_object())
        m_problems.push_back(
                {m_path.empty() ? "(document)" : m_path, "an object", describe(object)});
}

bool settings_reader::has(const std::string &field) const
{
    return m_object.contains(field);
}

const nlohmann::json *settings_reader::find(const std::string &field)
{
    m_requestedFields.insert(field);
    const auto found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

std::string settings_reader::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : m_path + '.' + field;
}

void settings_reader::report(const std::string &field, std::string expected, std::string found)
{
    m_problems.push_back({pathOf(field), std::move(expected), std::move(found)});
}

void settings_reader::readString(const std::string &field, std::string &value, bool isRequired)
{
    const auto *found = find(field);
    if (!found) {
        if (isRequired)
            report(field, "a text", "nothing");
        return;
    }
    if (!found->is_string() || (isRequired && found->get_ref<const std::string &>().empty()))
        report(field, "a text", describe(*found));
    else
        value = found->get<std::string>();
}

void settings_reader::readBool(const std::string &field, bool &value)
{
    const auto *found = find(field);
    if (!found)
        return;
    if (found->is_boolean())
        value = found->get<bool>();
    else
        report(field, "true or false", describe(*found));
}

void settings_reader::readDouble(const std::string &field, double &value, value_range<double> range)
{
    const auto *found = find(field);
    if (!found)
        return;
    const bool fits = found->is_number() && found->get<double>() >= range.least
            && found->get<double>() <= range.most;
    if (fits)
        value = found->get<double>();
    else
        report(field, rangeText("a number", range), describe(*found));
}

bool settings_reader::readInt64(const std::string &field, std::int64_t &value,
                                value_range<std::int64_t> range, bool isRequired)
{
    const auto *found = find(field);
    if (!found) {
        if (isRequired)
            report(field, rangeText("an integer", range), "nothing");
        return false;
    }
    const bool exceedsInt64 = found->is_number_unsigned()
            && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!found->is_number_integer() || exceedsInt64 || found->get<std::int64_t>() < range.least
        || found->get<std::int64_t>() > range.most) {
        report(field, rangeText("an integer", range), describe(*found));
        return false;
    }
    value = found->get<std::int64_t>();
    return true;
}

void settings_reader::readMilliseconds(const std::string &field, std::chrono::milliseconds &value,
                                       value_range<std::chrono::milliseconds> range)
{
    auto count = static_cast<std::int64_t>(value.count());
    if (readInt64(field, count, {range.least.count(), range.most.count()}, false))
        value = std::chrono::milliseconds(count);
}

const nlohmann::json &settings_reader::object(const std::string &field, bool isRequired)
{
    const auto *found = find(field);
    if (found && found->is_object())
        return *found;
    if (found || isRequired)
        report(field, "an object", found ? describe(*found) : "nothing");
    return EMPTY_OBJECT;
}

const nlohmann::json &settings_reader::array(const std::string &field, bool isRequired)
{
    const auto *found = find(field);
    if (found && found->is_array())
        return *found;
    if (found || isRequired)
        report(field, "an array", found ? describe(*found) : "nothing");
    return EMPTY_ARRAY;
}

void settings_reader::finish()
{
    for (const auto &[field, value] : m_object.items()) {
        if (!m_requestedFields.contains(field))
            report(field, "no such field", describe(value));
    }
}

} // namespace clementinebeam
