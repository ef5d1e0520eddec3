#include "internal/requestquarantine.h"

#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

namespace {

/// @return whether connecting failed because no process listens at the address. After other
///     failures, the target may just not be reachable.
bool isRefused(const boost::system::error_code &error)
{
    return error == boost::asio::error::connection_refused
            || error == boost::asio::error::connection_reset;
}

} // namespace

bool request_quarantine::isQuarantined(const service_name &service, std::uint64_t fingerprint) const
{
    return fingerprint != 0 && m_history.isQuarantined({service, fingerprint}, boot_clock::now());
}

void request_quarantine::noteLoss(const service_name &service, std::uint64_t fingerprint,
                                  const target_entry &target)
{
    auto &suspects = m_probes[target.id];
    suspects.push_back({service, fingerprint});
    if (suspects.size() > 1)
        return;
    const auto connection = m_pool.create(target);
    connection->open([this, target, connection](const boost::system::error_code &error) {
        if (!error)
            m_pool.giveBack(target, connection, std::nullopt);
        log_line(log_level::Info, "target_probed")
                .add("target", target.id)
                .add("service", target.service)
                .add("result", error ? error.message() : "connected");
        onProbed(target.id, isRefused(error));
    });
}

void request_quarantine::onProbed(const target_id &target, bool hasCrashed)
{
    const auto suspects = std::move(m_probes[target]);
    m_probes.erase(target);
    if (!hasCrashed)
        return;
    for (const auto &request : suspects)
        noteCrash(request, {target, boot_clock::now()}, true);
}

void request_quarantine::noteCrash(const repeated_request &request, const target_crash &crash,
                                   bool isSeenHere)
{
    const auto verdict = m_history.noteCrash(request, crash);
    if (verdict == crash_history::verdict::Quarantined)
        logQuarantined(request, crash.target);
    // Instances that learn of a quarantine pass it on, so that it reaches all of a large fleet.
    if (verdict == crash_history::verdict::Quarantined
        || (isSeenHere && verdict == crash_history::verdict::Suspected))
        m_sendNotice(noticeOf(request.service, request.fingerprint));
}

void request_quarantine::logQuarantined(const repeated_request &request,
                                        const target_id &target) const
{
    log_line(log_level::Warning, "request_quarantined")
            .add("service", request.service)
            .add("fingerprint", request.fingerprint)
            .add("target", target);
}

void request_quarantine::onStored(const crash_record &record)
{
    const auto clocks = readClocks();
    auto suspects = suspectsOf(record, clocks);
    for (const auto &[fingerprint, crashes] : suspects) {
        const repeated_request request{record.service, fingerprint};
        if (m_history.restore(request, crashes, clocks.now) == crash_history::verdict::Quarantined)
            logQuarantined(request, crashes.back().target);
    }
    m_archive.noteStored(record.service, std::move(suspects));
}

std::optional<crash_record> request_quarantine::takeRecordToStore(const service_name &service)
{
    const auto clocks = readClocks();
    const auto suspects = m_history.suspectsOf(service, clocks.now, crash_archive::MAX_SUSPECTS);
    if (!m_archive.isWriteDue(service, suspects, clocks.now))
        return std::nullopt;
    m_archive.noteWrite(service, clocks.now);
    return recordOf(service, suspects, clocks);
}

void request_quarantine::noteAnswer(const service_name &service, std::uint64_t fingerprint)
{
    // An empty notice clears the crashes that other instances know of.
    if (m_history.noteAnswer({service, fingerprint}))
        m_sendNotice(noticeOf(service, fingerprint));
}

crash_notice_message request_quarantine::noticeOf(const service_name &service,
                                                  std::uint64_t fingerprint) const
{
    const auto now = boot_clock::now();
    crash_notice_message notice{service, fingerprint, {}};
    for (const auto &crash : m_history.crashesOf({service, fingerprint})) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
        notice.crashes.push_back({crash.target, age.count()});
    }
    return notice;
}

bool request_quarantine::onNotice(const crash_notice_message &notice)
{
    if (notice.crashes.empty()) {
        m_history.noteAnswer({notice.service, notice.fingerprint});
        return false;
    }
    const auto now = boot_clock::now();
    for (const auto &crash : notice.crashes)
        noteCrash({notice.service, notice.fingerprint},
                  {crash.target, now - std::chrono::milliseconds(crash.ageMs)}, false);
    return notice.crashes.size() < crash_history::CRASH_LIMIT
            && isQuarantined(notice.service, notice.fingerprint);
}

} // namespace clementinebeam
