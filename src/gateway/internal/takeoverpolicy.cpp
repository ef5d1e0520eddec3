#include "internal/takeoverpolicy.h"

namespace clementinebeam {

namespace {

/// How long an answer shows that the coordinator is alive: more than twice the 250 ms after which a
/// waiting request is sent to it again. Without a more recent answer the coordinator is queried.
constexpr std::chrono::milliseconds ANSWER_LIFETIME{600};

} // namespace

void takeover_policy::noteAnswer(const service_name &service, instant now)
{
    auto &item = m_services[service];
    item.answeredAt = now;
    item.queriedAt = instant{};
    item.isReplaceable = false;
}

void takeover_policy::noteReplaceable(const service_name &service)
{
    m_services[service].isReplaceable = true;
}

takeover_policy::action takeover_policy::decide(const service_name &service, std::uint64_t term,
                                                bool isMissing, instant now)
{
    auto &item = m_services[service];
    if (item.term != term)
        item = {term, {}, {}, false};
    if (isMissing || item.isReplaceable)
        return action::Claim;
    if (item.answeredAt != instant{} && now < item.answeredAt + ANSWER_LIFETIME)
        return action::Keep;
    if (item.queriedAt == instant{}) {
        item.queriedAt = now;
        return action::Query;
    }
    return now < item.queriedAt + ANSWER_TIMEOUT ? action::Keep : action::Claim;
}

} // namespace clementinebeam
