#include "clementinebeam/observability/logline.h"

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

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
               return character <= ' ' || character == '"' || character == '=';
           });
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        text += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
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
    m_text += needsQuotes(value) ? quote(value) : std::string(value);
    return *this;
}

} // namespace clementinebeam
