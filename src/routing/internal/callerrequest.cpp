#include "internal/callerrequest.h"

#include <algorithm>
#include <charconv>

namespace clementinebeam {

namespace {

constexpr std::string_view PATH_PREFIX = "/v1/services/";

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char character) { return character > ' ' && character < 0x7f; });
}

/// Removes the first segment and its slash from the path and returns the segment.
std::string_view takePathSegment(std::string_view &path)
{
    const auto end = path.find('/');
    const auto segment = path.substr(0, end);
    path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
    return segment;
}

result<std::chrono::milliseconds> parseDeadline(std::string_view text,
                                                const daemon_settings &settings)
{
    if (text.empty())
        return settings.defaultDeadline;
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value <= 0)
        return make_error_code(error_kind::BadRequest);
    return std::min(std::chrono::milliseconds(value), settings.maxDeadline);
}

std::error_code checkFields(const caller_request &request)
{
    const bool tooLarge = request.key.size() > MAX_KEY_BYTES
            || request.service.size() > MAX_NAME_BYTES || request.kind.size() > MAX_NAME_BYTES
            || request.member.size() > MAX_NAME_BYTES
            || request.requestId.size() > MAX_REQUEST_ID_BYTES
            || request.contentType.size() > MAX_NAME_BYTES * 2;
    if (tooLarge)
        return error_kind::TooLarge;
    // These fields are forwarded to the target in headers.
    const bool isSafe = isPrintable(request.key) && isPrintable(request.service)
            && isPrintable(request.kind) && isPrintable(request.requestId)
            && isPrintable(request.member);
    if (!isSafe || request.key.empty() || request.service.empty() || request.kind.empty())
        return error_kind::BadRequest;
    return {};
}

} // namespace

std::uint64_t caller_request::fingerprint() const
{
    const auto keyHash = hashOf(key, hashOf(kind));
    return hashOf(body, keyHash);
}

result<caller_request> parseCallerRequest(const http_request &request,
                                          const daemon_settings &settings, instant now)
{
    std::string_view path = request.path;
    if (path.substr(0, PATH_PREFIX.size()) != PATH_PREFIX)
        return make_error_code(error_kind::BadRequest);
    path.remove_prefix(PATH_PREFIX.size());
    caller_request parsed;
    parsed.service = takePathSegment(path);
    parsed.kind = takePathSegment(path);
    parsed.key = path;
    parsed.requestId = request.headers.find("X-Request-Id");
    parsed.member = request.headers.find("X-Member");
    parsed.contentType = request.headers.find("Content-Type");
    parsed.body = request.body;
    parsed.isFirstAttempt = request.headers.find("X-Request-Attempt") == "1";
    parsed.arrivedAt = now;
    if (const auto error = checkFields(parsed))
        return error;
    const auto deadline = parseDeadline(request.headers.find("X-Deadline-Ms"), settings);
    if (!deadline)
        return deadline.error();
    parsed.deadline = now + deadline.value();
    return parsed;
}

} // namespace clementinebeam
