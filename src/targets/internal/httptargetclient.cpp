#include "internal/httptargetclient.h"

#include "clementinebeam/targets/controlcodec.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Ratio of all connections, including stuck ones, to those that are held open.
constexpr std::size_t MAX_CONNECTIONS_FACTOR = 4;

/// Longest wait for a connection before the owner of the key is looked up again.
constexpr std::chrono::milliseconds CONNECTION_WAIT_LIMIT{50};

channel_settings channelSettings(std::size_t connections)
{
    channel_settings settings;
    settings.connections = connections;
    settings.maxConnections = connections * MAX_CONNECTIONS_FACTOR;
    return settings;
}

http_request toHttpRequest(const target_request &request)
{
    http_request message;
    message.method = "POST";
    message.path = "/requests";
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            request.deadline - boot_clock::now());
    message.headers.add("X-Service", request.service);
    message.headers.add("X-Key", request.key);
    message.headers.add("X-Kind", request.kind);
    message.headers.add("X-Exchange-Id", request.exchangeId);
    if (!request.requestId.empty())
        message.headers.add("X-Request-Id", request.requestId);
    message.headers.add("X-Slot", std::to_string(request.slot));
    message.headers.add("X-Epoch", std::to_string(request.epoch));
    message.headers.add("X-Term", std::to_string(request.term));
    message.headers.add("X-Deadline-Ms",
                        std::to_string(std::max<std::int64_t>(1, remaining.count())));
    if (!request.contentType.empty())
        message.headers.add("Content-Type", request.contentType);
    message.body = request.body;
    return message;
}

target_answer failedAnswer(error_kind reason)
{
    target_answer answer;
    answer.reason = reason;
    answer.isNotRun = reason == error_kind::TargetUnreachable;
    answer.isConnectionLost = reason == error_kind::ConnectionLost;
    return answer;
}

target_answer toTargetAnswer(const target_request &request, http_response response)
{
    if (response.headers.find("X-Exchange-Id") != request.exchangeId)
        return failedAnswer(error_kind::AnswerIncomplete);
    target_answer answer;
    answer.status = response.status;
    answer.contentType = response.headers.find("Content-Type");
    answer.body = std::move(response.body);
    const auto outcome = response.headers.find("X-Outcome");
    if (outcome == "answered")
        return answer;
    answer.isNotRun = outcome == "not_run";
    answer.reason = answer.isNotRun ? errorKindFromReason(response.headers.find("X-Reason"))
                                    : error_kind::AnswerIncomplete;
    if (answer.isNotRun && answer.reason == error_kind::Internal)
        answer.reason = error_kind::TargetRefused;
    return answer;
}

} // namespace

http_target_client::http_target_client(std::size_t connectionsPerTarget)
    : m_connectionsPerTarget(connectionsPerTarget)
{ }

void http_target_client::setTargets(const std::vector<target_address> &targets)
{
    std::map<target_id, connections> removed;
    {
        const ordered_lock lock(m_mutex);
        std::map<target_id, connections> next;
        for (const auto &target : targets) {
            const auto known = m_targets.find(target.id);
            if (known != m_targets.end() && known->second.address == target.address)
                next.insert(m_targets.extract(known));
            else
                next[target.id] = {target.address, nullptr, nullptr};
        }
        m_targets.swap(next);
        removed = std::move(next);
    }
}

void http_target_client::setBrokenAnswerHandler(broken_target_answer_handler handler)
{
    const ordered_lock lock(m_mutex);
    m_onBrokenAnswer = std::move(handler);
}

std::shared_ptr<http_channel> http_target_client::makeChannel(const target_id &target,
                                                              const network_address &address,
                                                              std::size_t connectionCount,
                                                              std::string_view source) const
{
    auto channel = std::make_shared<http_channel>(address, channelSettings(connectionCount));
    if (m_onBrokenAnswer)
        channel->setBrokenAnswerHandler(
                [handler = m_onBrokenAnswer, target, source](const std::error_code &reason) {
                    handler(target, source, reason);
                });
    return channel;
}

std::shared_ptr<http_channel> http_target_client::requestChannel(const target_id &target)
{
    const ordered_lock lock(m_mutex);
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return nullptr;
    auto &entry = found->second;
    if (!entry.requests)
        entry.requests = makeChannel(target, entry.address, m_connectionsPerTarget, "target");
    return entry.requests;
}

std::shared_ptr<http_channel> http_target_client::controlChannel(const target_id &target)
{
    const ordered_lock lock(m_mutex);
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return nullptr;
    auto &entry = found->second;
    if (!entry.control)
        entry.control = makeChannel(target, entry.address, 1, "control");
    return entry.control;
}

target_answer http_target_client::call(const target_id &target, const target_request &request)
{
    const auto channel = requestChannel(target);
    if (!channel)
        return failedAnswer(error_kind::TargetUnreachable);
    // While no connection can be opened, the slot may get another owner.
    const auto sendBy = boot_clock::now() + CONNECTION_WAIT_LIMIT;
    auto response = channel->exchange(toHttpRequest(request), request.deadline, sendBy);
    if (!response)
        return failedAnswer(kindOf(response.error()));
    return toTargetAnswer(request, std::move(response.value()));
}

void http_target_client::cancel(const target_id &target, const std::string &exchangeId)
{
    http_request message;
    message.method = "POST";
    message.path = "/cancel/" + exchangeId;
    constexpr std::chrono::milliseconds CANCEL_TIMEOUT{500};
    postControl(target, std::move(message), CANCEL_TIMEOUT, [](const result<control_reply> &) {});
}

void http_target_client::control(const target_id &target, const control_request &request,
                                 std::chrono::milliseconds timeout, control_callback callback)
{
    http_request message;
    message.method = "POST";
    message.path = "/control";
    message.body = encodeControlRequest(request);
    postControl(target, std::move(message), timeout, std::move(callback));
}

void http_target_client::probe(const target_id &target, std::chrono::milliseconds timeout,
                               control_callback callback)
{
    http_request message;
    message.path = "/health";
    postControl(target, std::move(message), timeout, std::move(callback));
}

void http_target_client::postControl(const target_id &target, http_request request,
                                     std::chrono::milliseconds timeout, control_callback callback)
{
    const auto channel = controlChannel(target);
    if (!channel)
        return callback(make_error_code(error_kind::TargetUnreachable));
    channel->post(std::move(request), boot_clock::now() + timeout,
                  [callback = std::move(callback)](result<http_response> response) {
                      if (!response)
                          return callback(response.error());
                      if (response.value().status != 200)
                          return callback(make_error_code(error_kind::TargetRefused));
                      callback(decodeControlReply(response.value().body));
                  });
}

} // namespace clementinebeam
