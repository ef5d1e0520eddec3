#include "clementinebeam/observability/logline.h"

#include "clementinebeam/kernel/plaintext.h"

#include <algorithm>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace clementinebeam {

namespace {

log4cxx::LoggerPtr logger()
{
    static const auto LOGGER = log4cxx::Logger::getLogger("clementinebeam");
    return LOGGER;
}

log4cxx::LevelPtr levelOf(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Info:
        return log4cxx::Level::getInfo();
    case log_level::Warning:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

/// Longest value that is written completely, in bytes; lines have to stay small.
constexpr std::size_t MAX_VALUE_BYTES = 512;

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
               return character <= ' ' || character == '"' || character == '=';
           });
}

/// @return the value in quotes; quotes, backslashes and bytes that are no text are escaped.
std::string quote(std::string_view value, bool isPlain)
{
    static constexpr std::string_view HEX = "0123456789abcdef";
    std::string text = "\"";
    for (const unsigned char character : value) {
        const bool isPrintable = character >= ' ' && character < 0x7f;
        if (!isPlain && !isPrintable) {
            text += "\\x";
            text += HEX[character >> 4U];
            text += HEX[character & 15U];
            continue;
        }
        if (character == '"' || character == '\\')
            text += '\\';
        text += static_cast<char>(character);
    }
    return text + '"';
}

} // namespace

void startLogging(const std::string &instance, log_level level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
            "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p instance=" + instance + " %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(levelOf(level));
}

log_line::log_line(log_level level, std::string_view event)
    : m_level(level)
    , m_text("event=" + std::string(event))
{ }

log_line::~log_line()
{
    const auto log = logger();
    const auto level = levelOf(m_level);
    if (log->isEnabledFor(level))
        log->forcedLog(level, m_text);
}

log_line &log_line::add(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    const auto shown = value.substr(0, MAX_VALUE_BYTES);
    const bool isPlain = isPlainText(shown);
    if (isPlain && !needsQuotes(shown))
        m_text += shown;
    else
        m_text += quote(shown, isPlain);
    if (shown.size() < value.size())
        m_text += "...";
    return *this;
}

} // namespace clementinebeam
