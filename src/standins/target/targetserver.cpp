#include "targetserver.h"

#include "clementinebeam/targets/controlcodec.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds COLD_PERIOD{300};     ///< After a grant.
constexpr std::chrono::microseconds EXECUTION_STEP{1000}; ///< Interval of checks for cancellation.

server_settings serverSettings(const target_behaviour &behaviour)
{
    server_settings settings;
    settings.address = behaviour.address;
    settings.threads = behaviour.threads;
    return settings;
}

std::uint64_t parseNumber(std::string_view text)
{
    return text.empty() ? 0 : std::stoull(std::string(text));
}

std::int64_t microseconds(instant time)
{
    return time.time_since_epoch().count();
}

} // namespace

target_server::target_server(target_behaviour behaviour, std::uint64_t seed)
    : m_behaviour(std::move(behaviour))
    , m_history(m_behaviour.historyFile)
    , m_workerSlots(m_behaviour.workerSlots, m_behaviour.maxQueue)
    , m_leases(seed, seed, m_behaviour.warmUp)
    , m_random(seed)
    , m_server(serverSettings(m_behaviour),
               [this](const http_request &request) { return handle(request); })
{
    m_history.write({{"event", "start"}, {"target", m_behaviour.id}});
}

void target_server::stop()
{
    m_server.stop();
    m_history.write({{"event", "stop"}, {"target", m_behaviour.id}});
}

http_response target_server::handle(const http_request &request)
{
    constexpr std::string_view CANCEL_PREFIX = "/cancel/";
    if (request.path == "/requests")
        return handleRequest(request);
    if (request.path == "/control" && m_behaviour.checksGrants)
        return handleControl(request);
    if (request.path == "/health" || request.path == "/load")
        return handleHealth();
    if (request.path == "/behaviour")
        return handleBehaviour(request);
    if (request.path.compare(0, CANCEL_PREFIX.size(), CANCEL_PREFIX) == 0)
        return handleCancel(request.path.substr(CANCEL_PREFIX.size()));
    return {404, {}, ""};
}

http_response target_server::handleHealth()
{
    control_reply reply;
    reply.draining = m_draining;
    reply.running = static_cast<std::uint32_t>(m_workerSlots.running());
    reply.queued = static_cast<std::uint32_t>(m_workerSlots.queued());
    return {200, {}, encodeControlReply(reply)};
}

http_response target_server::handleBehaviour(const http_request &request)
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    if (!document.is_object())
        return {400, {}, ""};
    const std::lock_guard lock(m_mutex);
    m_draining = document.value("draining", m_draining.load());
    m_behaviour.serviceTime = std::chrono::microseconds(
            document.value("service_us", m_behaviour.serviceTime.count()));
    return {200, {}, "{}"};
}

http_response target_server::handleControl(const http_request &request)
{
    const auto message = decodeControlRequest(request.body);
    if (!message)
        return {400, {}, ""};
    const std::lock_guard lock(m_mutex);
    const auto now = boot_clock::now();
    expireLease(now);
    const auto before = m_leases.held();
    auto reply = m_leases.apply(
            message.value(), [this](slot_index slot) { return isRunning(slot); }, now);
    reply.draining = m_draining;
    reply.running = static_cast<std::uint32_t>(m_workerSlots.running());
    reply.queued = static_cast<std::uint32_t>(m_workerSlots.queued());
    recordOwnership(before);
    return {200, {}, encodeControlReply(reply)};
}

/// Drops all slots of an expired lease and records the expiry; the caller holds the mutex.
void target_server::expireLease(instant now)
{
    if (m_leases.expire(now))
        m_history.write({{"event", "lapse"},
                         {"target", m_behaviour.id},
                         {"lease_until_us", microseconds(m_leases.leaseUntil())}});
}

void target_server::recordOwnership(const std::map<slot_index, epoch_number> &before)
{
    const auto &after = m_leases.held();
    auto granted = nlohmann::json::array();
    auto released = nlohmann::json::array();
    for (const auto &[slot, epoch] : after) {
        const auto old = before.find(slot);
        if (old != before.end() && old->second == epoch)
            continue;
        granted.push_back({slot, epoch});
        m_grantedAt[slot] = boot_clock::now();
    }
    for (const auto &[slot, epoch] : before) {
        if (!after.contains(slot))
            released.push_back({slot, epoch});
    }
    m_history.write({{"event", "control"},
                     {"target", m_behaviour.id},
                     {"granted", granted},
                     {"released", released},
                     {"lease_until_us", microseconds(m_leases.leaseUntil())}});
}

bool target_server::isRunning(slot_index slot) const
{
    return std::any_of(m_running.begin(), m_running.end(),
                       [slot](const running_request &item) { return item.slot == slot; });
}

target_server::request_head target_server::parseHead(const http_request &request)
{
    request_head head;
    head.exchangeId = request.headers.find("X-Exchange-Id");
    head.requestId = request.headers.find("X-Request-Id");
    head.key = request.headers.find("X-Key");
    head.kind = request.headers.find("X-Kind");
    head.slot = static_cast<slot_index>(parseNumber(request.headers.find("X-Slot")));
    head.epoch = parseNumber(request.headers.find("X-Epoch"));
    head.term = parseNumber(request.headers.find("X-Term"));
    const auto remaining = parseNumber(request.headers.find("X-Deadline-Ms"));
    head.deadline = boot_clock::now() + std::chrono::milliseconds(remaining);
    return head;
}

http_response target_server::handleRequest(const http_request &request)
{
    const auto head = parseHead(request);
    auto reason = admit(head);
    if (reason == error_kind::None) {
        reason = execute(head, request.body);
        endRequest(head.exchangeId);
    }
    http_response response;
    response.headers.add("X-Exchange-Id", head.exchangeId);
    if (reason != error_kind::None) {
        response.status = 503;
        response.headers.add("X-Outcome", "not_run");
        response.headers.add("X-Reason", std::string(answerFor(reason).reason));
        return response;
    }
    response.headers.add("X-Outcome", "answered");
    response.headers.add("Content-Type", "application/json");
    response.body = nlohmann::json{{"target", m_behaviour.id}, {"key", head.key},
                                   {"kind", head.kind},        {"request_id", head.requestId},
                                   {"echo", request.body},     {"execution", ++m_executions}}
                            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

error_kind target_server::admit(const request_head &head)
{
    const std::lock_guard lock(m_mutex);
    if (m_behaviour.checksGrants) {
        const auto now = boot_clock::now();
        expireLease(now);
        const auto reason = m_leases.check(head.slot, head.epoch, head.term, false, now);
        if (reason != error_kind::None)
            return reason;
    }
    m_running.push_back({head.exchangeId, head.slot, false});
    return error_kind::None;
}

error_kind target_server::execute(const request_head &head, const std::string &body)
{
    switch (m_workerSlots.acquire(head.deadline)) {
    case worker_slots::admission::QueueFull:
        return error_kind::Overloaded;
    case worker_slots::admission::TimedOut:
        return error_kind::DeadlineExceeded;
    case worker_slots::admission::Admitted:
        break;
    }
    if (!m_behaviour.crashMarker.empty() && body.find(m_behaviour.crashMarker) != std::string::npos)
        std::_Exit(EXIT_FAILURE);
    const auto end = boot_clock::now() + drawServiceTime(head.slot);
    auto reason = error_kind::None;
    while (boot_clock::now() < end && reason == error_kind::None) {
        const auto step = std::min<boot_clock::duration>(EXECUTION_STEP, end - boot_clock::now());
        std::this_thread::sleep_for(step);
        if (isCancelled(head.exchangeId))
            reason = error_kind::DeadlineExceeded;
    }
    if (reason == error_kind::None)
        reason = commit(head);
    m_workerSlots.release();
    return reason;
}

/// Records the effect of a request, provided that the grant and the lease are still valid.
error_kind target_server::commit(const request_head &head)
{
    const std::lock_guard lock(m_mutex);
    if (m_behaviour.checksGrants) {
        const auto now = boot_clock::now();
        expireLease(now);
        const auto reason = m_leases.check(head.slot, head.epoch, head.term, true, now);
        if (reason != error_kind::None)
            return reason;
    }
    m_history.write({{"event", "execute"},
                     {"target", m_behaviour.id},
                     {"key", head.key},
                     {"kind", head.kind},
                     {"request_id", head.requestId},
                     {"exchange_id", head.exchangeId},
                     {"slot", head.slot},
                     {"epoch", head.epoch}});
    return error_kind::None;
}

std::chrono::microseconds target_server::drawServiceTime(slot_index slot)
{
    const std::lock_guard lock(m_mutex);
    std::exponential_distribution<double> distribution(1.0);
    double factor = distribution(m_random);
    const auto granted = m_grantedAt.find(slot);
    const auto now = boot_clock::now();
    const bool isCold = granted != m_grantedAt.end() && now - granted->second < COLD_PERIOD
            && !m_leases.wasPrepared(slot, now);
    if (isCold)
        factor *= m_behaviour.coldFactor;
    const auto mean = static_cast<double>(m_behaviour.serviceTime.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(mean * factor));
}

void target_server::endRequest(const std::string &exchangeId)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_running,
                  [&](const running_request &item) { return item.exchangeId == exchangeId; });
}

bool target_server::isCancelled(const std::string &exchangeId)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_running.begin(), m_running.end(), [&](const running_request &item) {
        return item.exchangeId == exchangeId && item.cancelled;
    });
}

http_response target_server::handleCancel(const std::string &exchangeId)
{
    const std::lock_guard lock(m_mutex);
    for (auto &item : m_running) {
        if (item.exchangeId == exchangeId)
            item.cancelled = true;
    }
    return {200, {}, "{}"};
}

} // namespace clementinebeam
