#include "platformlog.h"

#include <algorithm>

namespace clementinebeam {

log_offset platform_log::append(const std::string &stream, std::string payload, instant now)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_streams[stream];
    const auto offset = state.nextOffset++;
    state.entries.push_back({{offset, std::move(payload)}, now});
    expire(state, now);
    return offset;
}

log_batch platform_log::read(const std::string &stream, log_offset from, std::size_t maxRecords,
                             instant now)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_streams[stream];
    expire(state, now);
    log_batch batch;
    batch.firstOffset = state.firstOffset;
    batch.nextOffset = state.nextOffset;
    const auto first = std::max(from, state.firstOffset);
    for (auto offset = first; offset < state.nextOffset && batch.entries.size() < maxRecords;
         ++offset)
        batch.entries.push_back(state.entries[offset - state.firstOffset].entry);
    return batch;
}

void platform_log::expire(stream_state &stream, instant now) const
{
    while (!stream.entries.empty() && now - stream.entries.front().appendedAt >= m_retention) {
        stream.entries.pop_front();
        ++stream.firstOffset;
    }
}

} // namespace clementinebeam
