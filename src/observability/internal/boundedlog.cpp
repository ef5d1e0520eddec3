#include "clementinebeam/observability/boundedlog.h"

#include "clementinebeam/kernel/bootclock.h"

#include <algorithm>
#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

namespace clementinebeam {

namespace {

/// Buffered lines are written once they reach this size.
constexpr std::size_t WRITE_BYTES = 4096;

/// Token bucket that limits the rate of log lines.
class line_rate_limiter
{
public:
    line_rate_limiter(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    { }

    bool tryTake()
    {
        const auto now = boot_clock::now();
        const double elapsed = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        m_tokens = std::min(m_burst, m_tokens + elapsed * m_perSecond);
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    instant m_last = boot_clock::now();
};

/// Buffers lines until standard output accepts them, and enforces the limits.
class line_buffer
{
public:
    explicit line_buffer(const log_limits &limits)
        : m_limits(limits)
        , m_normalLimiter(limits.linesPerSecond, limits.burstLines)
        , m_urgentLimiter(limits.urgentLinesPerSecond, limits.burstLines)
    { }

    /// Checks the limits for one line, and counts it as dropped if it exceeds one.
    /// @return whether the line may be added.
    bool tryAdmit(bool isUrgent)
    {
        const bool isAllowed = isUrgent ? m_urgentLimiter.tryTake() : m_normalLimiter.tryTake();
        if (isAllowed && m_text.size() < m_limits.bufferBytes)
            return true;
        ++m_dropped;
        return false;
    }

    void add(const std::string &line)
    {
        m_text += line;
        if (m_text.size() >= WRITE_BYTES)
            flush();
    }

    void flush()
    {
        std::size_t written = 0;
        while (written < m_text.size()) {
            const auto count =
                    ::write(STDOUT_FILENO, m_text.data() + written, m_text.size() - written);
            if (count <= 0)
                break;
            written += static_cast<std::size_t>(count);
        }
        m_text.erase(0, written);
    }

    std::uint64_t dropped() const { return m_dropped; }

private:
    log_limits m_limits;
    line_rate_limiter m_normalLimiter;
    line_rate_limiter m_urgentLimiter;
    std::string m_text;
    std::uint64_t m_dropped = 0;
};

line_buffer &buffer(const log_limits &limits = {})
{
    static line_buffer instance(limits);
    return instance;
}

/// log4cxx appender that writes to the line buffer.
class bounded_appender : public log4cxx::AppenderSkeleton
{
public:
    explicit bounded_appender(const log4cxx::LayoutPtr &layout)
        : m_layout(layout)
    { }

    void close() override { }
    bool requiresLayout() const override { return false; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        const bool isUrgent = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
        // Checked before formatting: under load most lines are dropped.
        if (!buffer().tryAdmit(isUrgent))
            return;
        log4cxx::LogString text;
        m_layout->format(text, event, pool);
        std::string line;
        log4cxx::helpers::Transcoder::encodeUTF8(text, line);
        buffer().add(line);
    }

private:
    log4cxx::LayoutPtr m_layout;
};

} // namespace

void startBoundedLogging(const std::string &instance, const log_limits &limits)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK); // NOLINT(hicpp-signed-bitwise)
    buffer(limits);
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
            "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p instance=" + instance + " %m%n");
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    log4cxx::Logger::getRootLogger()->addAppender(std::make_shared<bounded_appender>(layout));
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void flushBoundedLog()
{
    buffer().flush();
}

std::uint64_t droppedLogLines()
{
    return buffer().dropped();
}

} // namespace clementinebeam
