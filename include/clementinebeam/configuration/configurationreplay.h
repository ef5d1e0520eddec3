#pragma once

#include "clementinebeam/configuration/servicesettings.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace clementinebeam {

using version_number = std::uint64_t;

/// An operator's JSON merge patch against a numbered version.
struct patch_record {
    record_id id;
    version_number baseVersion = 0;
    std::string department;
    std::string author;
    std::int64_t submittedAt = 0; ///< Milliseconds since the Unix epoch.
    std::string patch;            ///< JSON text.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(id, baseVersion, department, author, submittedAt, patch);
    }
};

/// The configuration after all records up to and including an offset.
struct configuration_checkpoint {
    record_id id;
    log_offset asOf = 0;
    version_number version = 0;
    std::string document;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(id, asOf, version, document);
    }
};

using configuration_record = std::variant<patch_record, configuration_checkpoint>;

/// What became of a patch.
enum class patch_verdict {
    Accepted,
    Conflict,
    Invalid,
};

/// @param verdict a verdict.
/// @return its name as operators see it.
std::string_view patchVerdictName(patch_verdict verdict) noexcept;

/// One line of the configuration's history.
struct patch_result {
    record_id id;
    log_offset offset = 0;
    patch_verdict verdict = patch_verdict::Invalid;
    version_number baseVersion = 0;
    version_number version = 0; ///< Current version after the record.
    std::string department;
    std::string author;
    std::int64_t submittedAt = 0;
    std::vector<std::string> touchedPaths;
    settings_problems problems;
};

/// The configuration in force at one time; immutable.
struct configuration_snapshot {
    version_number version = 0;
    nlohmann::json document = nlohmann::json::object();
    routing_configuration routing;
};

/// Deterministic replay of the configuration stream. The first valid patch on each version wins.
class configuration_replay
{
public:
    /// Forgets all state and starts at an offset.
    /// @param firstOffset first offset that the log still has; 0 means the stream is whole.
    void restart(log_offset firstOffset);

    /// @param offset offset of the record; not below nextOffset().
    /// @param record the record.
    void apply(log_offset offset, const configuration_record &record);

    /// Counts a record that cannot be decoded.
    void skip(log_offset offset) { m_nextOffset = offset + 1; }

    log_offset nextOffset() const { return m_nextOffset; }

    /// @return whether the state is known.
    bool isKnown() const { return m_known; }

    /// @return the configuration in force; never null.
    std::shared_ptr<const configuration_snapshot> current() const { return m_current; }

    /// @return offset of the newest checkpoint, if one was read.
    std::optional<log_offset> checkpointOffset() const { return m_checkpointOffset; }

    /// @return the newest results, oldest first.
    const std::deque<patch_result> &history() const { return m_history; }

    /// @param id a record.
    /// @return what became of it, or null if it is not known.
    const patch_result *find(const record_id &id) const;

    /// @return a checkpoint of the current state, without an id.
    configuration_checkpoint checkpoint() const;

    /// Takes over another instance's state.
    /// @param checkpoint its checkpoint.
    void adopt(const configuration_checkpoint &checkpoint);

private:
    static constexpr std::size_t MAX_HISTORY = 1000;

    void applyPatch(log_offset offset, const patch_record &record);
    patch_result judge(log_offset offset, const patch_record &record);
    void load(const configuration_checkpoint &checkpoint);

    log_offset m_firstOffset = 0;
    log_offset m_nextOffset = 0;
    bool m_known = true;
    std::shared_ptr<const configuration_snapshot> m_current =
            std::make_shared<configuration_snapshot>();
    std::optional<log_offset> m_checkpointOffset;
    std::deque<patch_result> m_history;
    std::vector<std::pair<log_offset, patch_record>> m_deferred;
};

/// Applies a patch and checks the result.
/// @param base the configuration that the patch is built on.
/// @param patch JSON merge patch.
/// @return the new configuration, or every problem found.
std::variant<configuration_snapshot, settings_problems>
applyPatch(const configuration_snapshot &base, const nlohmann::json &patch);

/// @param patch JSON merge patch.
/// @return the paths of all values that it sets or removes.
std::vector<std::string> touchedPaths(const nlohmann::json &patch);

} // namespace clementinebeam
