#include "internal/responsereader.h"

#include "clementinebeam/answers/answerhead.h"

namespace clementinebeam {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t READ_BYTES = 16384;
constexpr std::uint32_t MAX_HEAD_BYTES = 16384;
constexpr std::uint64_t MAX_BODY_BYTES = 16UL << 20U;
/// Largest number of interim responses (1xx) to one request.
constexpr int MAX_INTERIM_RESPONSES = 16;

} // namespace

std::error_code response_reader::read(instant deadline)
{
    for (int interim = 0; interim <= MAX_INTERIM_RESPONSES; ++interim) {
        if (const auto error = readMessage(deadline))
            return error;
        if (m_parser->get().result_int() / 100 != 1)
            return {};
    }
    return answer_error::TooManyInterimAnswers;
}

std::error_code response_reader::readMessage(instant deadline)
{
    m_parser.emplace();
    // Head and body are parsed in separate steps, so that the head is checked in between.
    m_parser->eager(false);
    m_parser->header_limit(MAX_HEAD_BYTES);
    m_parser->body_limit(MAX_BODY_BYTES);
    m_parser->skip(m_isHead);
    bool isHeadChecked = false;
    bool needsMore = m_buffer.size() == 0;
    while (!m_parser->is_done()) {
        if (needsMore) {
            if (const auto error = receive(deadline))
                return error;
        }
        boost::system::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        needsMore = error == http::error::need_more || m_buffer.size() == 0;
        if (error && error != http::error::need_more)
            return error;
        if (m_parser->is_header_done() && !std::exchange(isHeadChecked, true)) {
            if (const auto headError = checkHead())
                return headError;
        }
    }
    return {};
}

std::error_code response_reader::checkHead() const
{
    if (const auto error = checkAnswerHead(m_parser->get()))
        return error;
    const bool hasKnownLength = m_parser->content_length() || m_parser->is_done();
    if (!hasKnownLength)
        return answer_error::UnknownLength;
    return {};
}

std::error_code response_reader::receive(instant deadline)
{
    const auto space = m_buffer.prepare(READ_BYTES);
    std::size_t received = 0;
    const auto error =
            m_socket.read(static_cast<char *>(space.data()), space.size(), deadline, received);
    if (error == std::errc::timed_out)
        return error;
    if (!error && received > 0) {
        m_buffer.commit(received);
        m_hasStarted = true;
        return {};
    }
    if (!m_hasStarted)
        return std::make_error_code(std::errc::connection_reset);
    return m_parser->is_header_done() ? answer_error::BodyCutOff : answer_error::HeadCutOff;
}

http_response response_reader::takeResponse()
{
    auto message = m_parser->release();
    http_response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message)
        response.headers.add(std::string(field.name_string()), std::string(field.value()));
    response.body = std::move(message.body());
    return response;
}

} // namespace clementinebeam
