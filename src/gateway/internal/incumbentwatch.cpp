#include "internal/incumbentwatch.h"

namespace clementinebeam {

namespace {

/// How long an answer proves that the coordinator lives: several times the interval at which
/// requests ask it.
constexpr std::chrono::milliseconds ANSWER_LIFE{600};

} // namespace

void incumbent_watch::noteAnswer(const service_name &service, instant now)
{
    auto &item = m_services[service];
    item.answeredAt = now;
    item.askedAt = instant{};
    item.isYielding = false;
}

void incumbent_watch::noteYielding(const service_name &service)
{
    m_services[service].isYielding = true;
}

incumbent_watch::verdict incumbent_watch::judge(const service_name &service, std::uint64_t term,
                                                bool isMissing, instant now)
{
    auto &item = m_services[service];
    if (item.term != term)
        item = {term, {}, {}, false};
    if (isMissing || item.isYielding)
        return verdict::Claim;
    if (item.answeredAt != instant{} && now < item.answeredAt + ANSWER_LIFE)
        return verdict::Keep;
    if (item.askedAt == instant{}) {
        item.askedAt = now;
        return verdict::Ask;
    }
    return now < item.askedAt + PATIENCE ? verdict::Keep : verdict::Claim;
}

} // namespace clementinebeam
