#include "internal/ledgerclient.h"

#include <algorithm>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds ADMIT_TIMEOUT{250};
constexpr std::chrono::milliseconds REPORT_TIMEOUT{500};
constexpr std::chrono::milliseconds REPORT_RETRY_DELAY{100};
/// Age at which a report that no leader accepted is dropped.
constexpr std::chrono::seconds REPORT_MAX_AGE{30};
/// Longest wait of stop(), and of the thread while no report is pending.
constexpr std::chrono::milliseconds MAX_WAIT{1000};
constexpr std::size_t MAX_PENDING_REPORTS = 100000;

} // namespace

ledger_client::ledger_client(std::shared_ptr<i_peer_transport> peers,
                             std::shared_ptr<i_routing_table> routes)
    : m_peers(std::move(peers))
    , m_routes(std::move(routes))
{ }

ledger_client::~ledger_client()
{
    stop();
}

void ledger_client::start()
{
    m_thread = std::thread([this] { run(); });
}

void ledger_client::stop()
{
    {
        std::unique_lock lock(m_mutex);
        if (!m_thread.joinable())
            return;
        m_wake.wait_for(lock, MAX_WAIT, [this] { return m_pending.empty() && m_inFlight == 0; });
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

result<admit_reply> ledger_client::admit(const instance_id &leader, const admit_request &request,
                                         instant deadline)
{
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_clock::now());
    const auto timeout = std::min(ADMIT_TIMEOUT, remaining);
    if (timeout <= std::chrono::milliseconds::zero())
        return make_error_code(error_kind::PeerUnreachable);
    auto reply = m_peers->call(leader, request, timeout);
    if (!reply)
        return reply.error();
    auto *decision = std::get_if<admit_reply>(&reply.value());
    if (!decision)
        return make_error_code(error_kind::BadMessage);
    return std::move(*decision);
}

void ledger_client::report(outcome_report report)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending.size() >= MAX_PENDING_REPORTS)
            m_pending.pop_front();
        m_pending.push_back(
                {std::move(report), boot_clock::now(), boot_clock::now() + REPORT_MAX_AGE});
    }
    m_wake.notify_all();
}

void ledger_client::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto now = boot_clock::now();
        const auto due =
                std::find_if(m_pending.begin(), m_pending.end(),
                             [now](const pending_report &item) { return item.nextAttempt <= now; });
        if (due == m_pending.end()) {
            m_wake.wait_for(lock, m_pending.empty() ? MAX_WAIT : REPORT_RETRY_DELAY / 4);
            continue;
        }
        auto item = std::move(*due);
        m_pending.erase(due);
        ++m_inFlight;
        lock.unlock();
        send(item.report, [this, item](bool accepted) mutable {
            const std::lock_guard relock(m_mutex);
            --m_inFlight;
            item.nextAttempt = boot_clock::now() + REPORT_RETRY_DELAY;
            if (!accepted && item.nextAttempt < item.expiresAt)
                m_pending.push_back(std::move(item));
            m_wake.notify_all();
        });
        lock.lock();
    }
}

void ledger_client::send(const outcome_report &report, std::function<void(bool)> done)
{
    const auto view = m_routes->view();
    const auto found = view->services.find(report.shard.service);
    if (found == view->services.end() || report.shard.index >= found->second.shards.size())
        return done(true);
    const auto &leader = found->second.shards[report.shard.index].leader;
    m_peers->request(leader, report, REPORT_TIMEOUT,
                     [done = std::move(done)](const result<peer_message> &reply) {
                         const auto *accepted =
                                 reply ? std::get_if<outcome_reply>(&reply.value()) : nullptr;
                         done(accepted && accepted->accepted);
                     });
}

} // namespace clementinebeam
