#include "platformserver.h"

#include "clementinebeam/kernel/base64.h"

#include <thread>

namespace clementinebeam {

namespace {

constexpr std::size_t SERVER_THREADS = 160;
constexpr std::size_t DEFAULT_MAX_RECORDS = 500;

server_settings serverSettings(const network_address &address)
{
    server_settings settings;
    settings.address = address;
    settings.threads = SERVER_THREADS;
    return settings;
}

http_response jsonResponse(const nlohmann::json &document)
{
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.body = document.dump();
    return response;
}

http_response errorResponse(int status)
{
    http_response response;
    response.status = status;
    return response;
}

/// @return the text without the prefix, or nullopt if it does not start with the prefix.
std::optional<std::string> withoutPrefix(const std::string &text, const std::string &prefix)
{
    if (text.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return text.substr(prefix.size());
}

std::uint64_t parseNumber(const std::string &text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::stoull(text);
}

} // namespace

platform_server::platform_server(const network_address &address,
                                 std::chrono::milliseconds retention,
                                 std::chrono::milliseconds listLag)
    : m_log(retention)
    , m_listLag(listLag)
    , m_server(serverSettings(address),
               [this](const http_request &request) { return handle(request); })
{ }

platform_faults platform_server::faults()
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

http_response platform_server::handle(const http_request &request)
{
    if (request.path == "/faults")
        return handleFaults(request);
    if (const auto id = withoutPrefix(request.path, "/listings/"))
        return handleListing(request, *id);
    const auto activeFaults = faults();
    std::this_thread::sleep_for(activeFaults.delay);
    if (request.path == "/instances")
        return handleList();
    if (activeFaults.isDown)
        return errorResponse(503);
    auto stream = withoutPrefix(request.path, "/streams/");
    const auto end = stream ? stream->find("/records") : std::string::npos;
    if (end == std::string::npos)
        return errorResponse(404);
    return handleStream(request, stream->substr(0, end));
}

http_response platform_server::handleStream(const http_request &request, const std::string &stream)
{
    if (request.method == "POST") {
        const auto offset = m_log.append(stream, request.body, boot_clock::now());
        return faults().losesAnswers ? errorResponse(500) : jsonResponse({{"offset", offset}});
    }
    const auto from = parseNumber(request.parameter("from"), 0);
    const auto maxRecords = parseNumber(request.parameter("max"), DEFAULT_MAX_RECORDS);
    const auto batch = m_log.read(stream, from, maxRecords, boot_clock::now());
    auto records = nlohmann::json::array();
    for (const auto &entry : batch.entries)
        records.push_back({{"offset", entry.offset}, {"payload", encodeBase64(entry.payload)}});
    return jsonResponse({{"first_offset", batch.firstOffset},
                         {"next_offset", batch.nextOffset},
                         {"records", records}});
}

http_response platform_server::handleList()
{
    const std::lock_guard lock(m_mutex);
    while (!m_faults.isListFrozen && !m_changes.empty()
           && m_changes.front().visibleAt <= boot_clock::now()) {
        const auto &change = m_changes.front();
        if (change.entry.is_null())
            m_listings.erase(change.id);
        else
            m_listings[change.id] = change.entry;
        m_changes.pop_front();
    }
    auto list = nlohmann::json::array();
    for (const auto &[id, entry] : m_listings)
        list.push_back(entry);
    return jsonResponse(list);
}

http_response platform_server::handleListing(const http_request &request, const std::string &id)
{
    nlohmann::json entry;
    if (request.method == "PUT") {
        entry = nlohmann::json::parse(request.body, nullptr, false);
        if (!entry.is_object())
            return errorResponse(400);
        entry["id"] = id;
    }
    const std::lock_guard lock(m_mutex);
    m_changes.push_back({boot_clock::now() + m_listLag, id, std::move(entry)});
    return {};
}

http_response platform_server::handleFaults(const http_request &request)
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    if (!document.is_object())
        return errorResponse(400);
    const std::lock_guard lock(m_mutex);
    m_faults.isDown = document.value("down", m_faults.isDown);
    m_faults.losesAnswers = document.value("loses_answers", m_faults.losesAnswers);
    m_faults.isListFrozen = document.value("list_frozen", m_faults.isListFrozen);
    m_faults.delay = std::chrono::milliseconds(document.value("delay_ms", m_faults.delay.count()));
    return {};
}

} // namespace clementinebeam
