#include "internal/operatorserver.h"

#include "internal/jsonviews.h"

#include <charconv>

namespace clementinebeam {

namespace {

constexpr std::size_t OPERATOR_THREADS = 8;
constexpr std::size_t MAX_PATCH_BYTES = 256 << 10;
constexpr std::size_t MAX_AUTHOR_BYTES = 64;
constexpr std::size_t DEFAULT_AUDIT_ENTRIES = 50;
constexpr std::chrono::milliseconds PATCH_TIMEOUT{8000};
constexpr std::chrono::milliseconds VERSION_TIMEOUT{300};

server_settings operatorListener(const daemon_settings &settings)
{
    server_settings server;
    server.address = settings.operatorListener;
    server.threads = OPERATOR_THREADS;
    server.maxBodyBytes = MAX_PATCH_BYTES;
    server.certificateFile = settings.certificateFile;
    return server;
}

http_response jsonResponse(int status, const nlohmann::json &document)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    return response;
}

http_response errorResponse(error_kind kind, const std::string &detail = {})
{
    const auto &row = answerFor(kind);
    nlohmann::json document{{"reason", row.reason}, {"text", row.text}};
    if (!detail.empty())
        document["detail"] = detail;
    return jsonResponse(row.httpStatus, document);
}

bool parseNumber(std::string_view text, std::uint64_t &value)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

/// @return the first service in the patch that the department may not change; "services" if the
///         patch names no services and the department may not change all of them; otherwise an
///         empty string.
std::string forbiddenService(const nlohmann::json &patch, const department_settings &department)
{
    const auto services = patch.find("services");
    if (services == patch.end() || !services->is_object())
        return department.mayChange("*") ? "" : "services";
    for (const auto &[name, value] : services->items()) {
        if (!department.mayChange(name))
            return name;
    }
    return {};
}

} // namespace

struct operator_server::route {
    std::string method;
    std::string path;
    handler action;
};

const std::vector<operator_server::route> &operator_server::routes()
{
    static const std::vector<route> ROUTES{
            {"GET", "/v1/status", &operator_server::getStatus},
            {"GET", "/v1/services", &operator_server::getServices},
            {"GET", "/v1/slots", &operator_server::getSlots},
            {"GET", "/v1/instances", &operator_server::getInstances},
            {"GET", "/v1/configuration", &operator_server::getConfiguration},
            {"GET", "/v1/history", &operator_server::getHistory},
            {"GET", "/v1/audit", &operator_server::getAudit},
            {"POST", "/v1/patches", &operator_server::postPatch},
            {"POST", "/v1/confirm-lost", &operator_server::postConfirmLost},
    };
    return ROUTES;
}

operator_server::operator_server(const incarnation_id &self, const daemon_settings &settings,
                                 operator_services services)
    : m_self(self)
    , m_settings(settings)
    , m_services(std::move(services))
    , m_authenticator(settings.departments)
    , m_random(makeSystemSeededSource())
    , m_server(operatorListener(settings),
               [this](const http_request &request) { return handle(request); })
{ }

record_id operator_server::makeRecordId()
{
    const std::lock_guard lock(m_randomMutex);
    return newRecordId(m_random);
}

http_response operator_server::handle(const http_request &request)
{
    if (request.path == "/health")
        return {200, {}, "alive\n"};
    if (request.path == "/ready")
        return readiness();
    if (request.path == "/metrics") {
        http_response response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = m_services.metrics->render();
        return response;
    }
    const auto *department = m_authenticator.authenticate(request);
    if (!department)
        return errorResponse(error_kind::Unauthorized);
    for (const auto &candidate : routes()) {
        if (candidate.path == request.path && candidate.method == request.method)
            return (this->*candidate.action)(request, *department);
    }
    return errorResponse(error_kind::NotFound);
}

http_response operator_server::readiness() const
{
    const bool ready = m_services.controlPlane->isReady() && !m_draining;
    return {ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"};
}

http_response operator_server::getStatus(const http_request &, const department_settings &)
{
    const auto position = m_services.controlPlane->position();
    auto shards = nlohmann::json::array();
    for (const auto &status : m_services.controlPlane->shards())
        shards.push_back(toJson(status));
    return jsonResponse(200,
                        {{"instance", m_self.instance},
                         {"data_centre", m_settings.dataCentre},
                         {"ready", position.isReady},
                         {"version", position.version},
                         {"configuration_offset", position.configurationOffset},
                         {"ownership_offset", position.ownershipOffset},
                         {"shards", shards}});
}

http_response operator_server::getServices(const http_request &, const department_settings &)
{
    const auto view = m_services.routingTable->view();
    if (!view)
        return errorResponse(error_kind::NotReady);
    return jsonResponse(200, servicesToJson(*view));
}

http_response operator_server::getSlots(const http_request &request, const department_settings &)
{
    const auto view = m_services.routingTable->view();
    if (!view)
        return errorResponse(error_kind::NotReady);
    const auto service = request.parameter("service");
    if (!view->services.contains(service))
        return errorResponse(error_kind::UnknownService);
    return jsonResponse(200, slotsToJson(*view, service));
}

nlohmann::json operator_server::queryVersion(const listing &entry) const
{
    if (entry.id == m_self.instance)
        return m_services.controlPlane->position().version;
    const auto reply = m_services.peers->call(entry.id, state_request{false}, VERSION_TIMEOUT);
    const auto *state = reply ? std::get_if<state_reply>(&reply.value()) : nullptr;
    return state ? nlohmann::json(state->version) : nlohmann::json();
}

http_response operator_server::getInstances(const http_request &, const department_settings &)
{
    auto entries = nlohmann::json::array();
    for (const auto &entry : m_services.controlPlane->listings()) {
        auto item = toJson(entry);
        if (entry.role == listed_role::Instance)
            item["version"] = queryVersion(entry);
        entries.push_back(std::move(item));
    }
    return jsonResponse(200, entries);
}

http_response operator_server::getConfiguration(const http_request &, const department_settings &)
{
    const auto view = m_services.routingTable->view();
    if (!view)
        return errorResponse(error_kind::NotReady);
    return jsonResponse(200,
                        {{"version", view->configuration->version},
                         {"document", view->configuration->document}});
}

http_response operator_server::getHistory(const http_request &, const department_settings &)
{
    auto entries = nlohmann::json::array();
    for (const auto &entry : m_services.controlPlane->history())
        entries.push_back(toJson(entry));
    return jsonResponse(200, entries);
}

http_response operator_server::getAudit(const http_request &request, const department_settings &)
{
    std::uint64_t limit = DEFAULT_AUDIT_ENTRIES;
    const auto text = request.parameter("limit");
    if (!text.empty() && !parseNumber(text, limit))
        return errorResponse(error_kind::BadRequest, "limit");
    auto entries = nlohmann::json::array();
    for (const auto &entry : m_services.audit->newest(limit))
        entries.push_back(toJson(entry));
    return jsonResponse(200, entries);
}

http_response operator_server::postPatch(const http_request &request,
                                         const department_settings &department)
{
    patch_record record;
    if (!parseNumber(request.parameter("base"), record.baseVersion))
        return errorResponse(error_kind::BadRequest, "base version is missing or malformed");
    record.author = request.parameter("author");
    if (record.author.empty() || record.author.size() > MAX_AUTHOR_BYTES)
        return errorResponse(error_kind::BadRequest, "author is missing or too long");
    const auto patch = nlohmann::json::parse(request.body, nullptr, false, true);
    if (!patch.is_object())
        return errorResponse(error_kind::BadRequest, "the patch is not a JSON object");
    if (const auto forbidden = forbiddenService(patch, department); !forbidden.empty())
        return errorResponse(error_kind::Forbidden, forbidden);
    const auto view = m_services.routingTable->view();
    if (!view)
        return errorResponse(error_kind::NotReady);
    // Do not append a patch that is invalid for the current version. Each instance validates
    // patches again on replay.
    const auto dryRun = applyPatch(*view->configuration, patch);
    const auto *problems = std::get_if<settings_problems>(&dryRun);
    if (problems && record.baseVersion == view->configuration->version) {
        std::string detail;
        for (const auto &problem : *problems)
            detail += (detail.empty() ? "" : "; ") + problem.text();
        return errorResponse(error_kind::InvalidSettings, detail);
    }
    record.id = makeRecordId();
    record.department = department.name;
    record.submittedAt = wallNow().time_since_epoch().count();
    record.patch = patch.dump();
    const auto outcome = m_services.controlPlane->submitPatch(record, PATCH_TIMEOUT);
    if (!outcome)
        return errorResponse(kindOf(outcome.error()), "the patch may still be accepted later");
    switch (outcome.value().verdict) {
    case patch_verdict::Accepted:
        return jsonResponse(200, toJson(outcome.value()));
    case patch_verdict::Conflict:
        return jsonResponse(answerFor(error_kind::VersionConflict).httpStatus,
                            toJson(outcome.value()));
    case patch_verdict::Invalid:
        break;
    }
    return jsonResponse(answerFor(error_kind::InvalidSettings).httpStatus, toJson(outcome.value()));
}

http_response operator_server::postConfirmLost(const http_request &request,
                                               const department_settings &department)
{
    shard_id shard{request.parameter("service"), 0};
    std::uint64_t index = 0;
    if (!parseNumber(request.parameter("shard"), index))
        return errorResponse(error_kind::BadRequest, "shard");
    shard.index = static_cast<std::uint32_t>(index);
    if (!department.mayChange(shard.service))
        return errorResponse(error_kind::Forbidden, shard.service);
    if (const auto error = m_services.controlPlane->confirmEarlierLeadersLost(shard))
        return errorResponse(kindOf(error));
    return jsonResponse(200, {{"shard", shard.text()}, {"confirmed", true}});
}

} // namespace clementinebeam
