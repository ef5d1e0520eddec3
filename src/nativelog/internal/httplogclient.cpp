#include "internal/httplogclient.h"

#include "clementinebeam/kernel/base64.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

namespace {

constexpr std::size_t READ_CONNECTIONS = 2;
constexpr std::size_t APPEND_CONNECTIONS = 4;
constexpr std::size_t MAX_RECORDS_PER_READ = 500;
constexpr std::chrono::milliseconds APPEND_TIMEOUT{1000};

channel_settings channelSettings(std::size_t connections)
{
    channel_settings settings;
    settings.connections = connections;
    settings.maxConnections = connections * 4;
    return settings;
}

std::string recordsPath(const std::string &stream)
{
    return "/streams/" + stream + "/records";
}

result<log_batch> parseBatch(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return make_error_code(error_kind::BadMessage);
    try {
        log_batch batch;
        batch.firstOffset = document.at("first_offset").get<log_offset>();
        batch.nextOffset = document.at("next_offset").get<log_offset>();
        for (const auto &item : document.at("records")) {
            auto payload = decodeBase64(item.at("payload").get<std::string>());
            if (!payload)
                return payload.error();
            batch.entries.push_back(
                    {item.at("offset").get<log_offset>(), std::move(payload.value())});
        }
        return batch;
    } catch (const nlohmann::json::exception &) {
        return make_error_code(error_kind::BadMessage);
    }
}

} // namespace

http_log_client::http_log_client(const network_address &address)
    : m_readChannel(address, channelSettings(READ_CONNECTIONS))
    , m_appendChannel(address, channelSettings(APPEND_CONNECTIONS))
{ }

void http_log_client::setBrokenAnswerHandler(const broken_answer_handler &handler)
{
    m_readChannel.setBrokenAnswerHandler(handler);
    m_appendChannel.setBrokenAnswerHandler(handler);
}

void http_log_client::append(const std::string &stream, std::string payload,
                             std::function<void()> onAppended)
{
    http_request request;
    request.method = "POST";
    request.path = recordsPath(stream);
    request.body = std::move(payload);
    // A record takes effect only when it is read back; the response only signals when to read.
    m_appendChannel.post(
            std::move(request), boot_clock::now() + APPEND_TIMEOUT,
            [onAppended = std::move(onAppended)](const result<http_response> &response) {
                if (response && response.value().status == 200)
                    onAppended();
            });
}

result<log_batch> http_log_client::read(const std::string &stream, log_offset from,
                                        std::chrono::milliseconds timeout)
{
    http_request request;
    request.path = recordsPath(stream);
    request.query = "from=" + std::to_string(from) + "&max=" + std::to_string(MAX_RECORDS_PER_READ);
    auto response = m_readChannel.exchange(std::move(request), boot_clock::now() + timeout);
    if (!response || response.value().status != 200)
        return make_error_code(error_kind::LogUnavailable);
    return parseBatch(response.value().body);
}

} // namespace clementinebeam
