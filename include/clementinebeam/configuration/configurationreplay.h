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

/// Version of the configuration; 0 is the empty configuration, each accepted patch adds 1.
using version_number = std::uint64_t;

/// An operator's JSON merge patch of a given configuration version.
struct patch_record {
    record_id id;
    version_number baseVersion = 0; ///< Version that the patch was written for.
    std::string department;
    std::string author;
    std::int64_t submittedAt = 0; ///< Milliseconds since the Unix epoch.
    std::string patch;            ///< JSON merge patch (RFC 7396) as text.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(id, baseVersion, department, author, submittedAt, patch);
    }
};

/// The configuration after all records up to and including offset asOf.
struct configuration_checkpoint {
    record_id id;
    log_offset asOf = 0; ///< Offset of the last record that the checkpoint includes.
    version_number version = 0;
    std::string document; ///< The whole configuration as JSON text.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(id, asOf, version, document);
    }
};

using configuration_record = std::variant<patch_record, configuration_checkpoint>;

/// Result of applying a patch.
enum class patch_verdict {
    Accepted, ///< The patch made a new version.
    Conflict, ///< The base version was not the current one.
    Invalid,  ///< The patch is not a JSON object, or the patched configuration is invalid.
};

/// @param verdict a verdict.
/// @return its name in the operator interface and the audit trail.
std::string_view patchVerdictName(patch_verdict verdict) noexcept;

/// Entry of the configuration's history: a patch record and its verdict.
struct patch_result {
    record_id id;
    log_offset offset = 0;
    patch_verdict verdict = patch_verdict::Invalid;
    version_number baseVersion = 0;
    version_number version = 0; ///< Current version after the record.
    std::string department;
    std::string author;
    std::int64_t submittedAt = 0; ///< Milliseconds since the Unix epoch.
    std::vector<std::string> touchedPaths;
    settings_problems problems; ///< Why the patch is invalid; empty for other verdicts.
};

/// One version of the configuration. Never modified once it is in force.
struct configuration_snapshot {
    version_number version = 0;
    nlohmann::json document = nlohmann::json::object();
    routing_configuration routing;
};

/// Computes the configuration from the records of the configuration stream.
///
/// Deterministic: all instances that read the same records get the same result. Of several patches
/// with the same base version, the first valid one is accepted.
class configuration_replay
{
public:
    /// Discards all state and starts again at an offset.
    /// @param firstOffset first offset that the log still has; 0 means that no record was removed.
    void restart(log_offset firstOffset);

    /// Applies the next record of the stream. Patches are kept back while isKnown() is false.
    /// @param offset offset of the record; not below nextOffset().
    /// @param record the record.
    void apply(log_offset offset, const configuration_record &record);

    /// Skips a record that cannot be decoded.
    /// @param offset offset of the record.
    void skip(log_offset offset) { m_nextOffset = offset + 1; }

    /// @return offset of the next record to apply.
    log_offset nextOffset() const { return m_nextOffset; }

    /// @return whether the configuration is known; false after a restart above offset 0 until a
    ///         checkpoint covers the removed records.
    bool isKnown() const { return m_known; }

    /// @return the configuration in force; never null.
    std::shared_ptr<const configuration_snapshot> current() const { return m_current; }

    /// @return offset of the newest checkpoint record, if one was read.
    std::optional<log_offset> checkpointOffset() const { return m_checkpointOffset; }

    /// @return the newest entries, oldest first.
    const std::deque<patch_result> &history() const { return m_history; }

    /// @param id id of a patch record.
    /// @return its entry in the history, or null if there is none; valid until the next change.
    const patch_result *find(const record_id &id) const;

    /// @return a checkpoint of the current state; the caller sets its id.
    configuration_checkpoint checkpoint() const;

    /// Replaces all state with a checkpoint of another instance.
    /// @param checkpoint the checkpoint.
    void adopt(const configuration_checkpoint &checkpoint);

private:
    static constexpr std::size_t MAX_HISTORY = 1000;

    void applyPatch(log_offset offset, const patch_record &record);
    patch_result evaluatePatch(log_offset offset, const patch_record &record);
    void load(const configuration_checkpoint &checkpoint);

    log_offset m_firstOffset = 0;
    log_offset m_nextOffset = 0;
    bool m_known = true;
    std::shared_ptr<const configuration_snapshot> m_current =
            std::make_shared<configuration_snapshot>();
    std::optional<log_offset> m_checkpointOffset;
    std::deque<patch_result> m_history;
    std::vector<std::pair<log_offset, patch_record>> m_deferredPatches;
};

/// Applies a patch and validates the result.
/// @param base the configuration to patch.
/// @param patch JSON merge patch.
/// @return the next version of the configuration, or the problems found.
std::variant<configuration_snapshot, settings_problems>
applyPatch(const configuration_snapshot &base, const nlohmann::json &patch);

/// @param patch JSON merge patch.
/// @return the paths of all values that it sets or removes, such as "services.orders.policy".
std::vector<std::string> touchedPaths(const nlohmann::json &patch);

} // namespace clementinebeam
