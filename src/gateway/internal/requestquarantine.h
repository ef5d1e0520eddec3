#pragma once

#include "clementinebeam/dispatch/crasharchive.h"
#include "clementinebeam/dispatch/crashrecord.h"
#include "clementinebeam/gateway/gatewaytypes.h"
#include "internal/placementmessages.h"
#include "internal/targetconnectionpool.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace clementinebeam {

/// Refuses requests that crash the targets that run them, and exchanges what is known of them with
/// other instances.
///
/// A repeat of such a request may reach any instance. Connections are also lost in other ways: by a
/// reset, a network partition, or a target that drops an answer. Only if the target then refuses a
/// new connection has its process ended. What is known is stored as well, as all instances may have
/// started again when the request comes again.
class request_quarantine
{
public:
    /// Delay that is proposed to callers of a refused request.
    static constexpr std::chrono::seconds RETRY_AFTER{60};

    /// Sends a notice to other instances.
    using notice_sender = std::function<void(const crash_notice_message &)>;

    /// @param pool opens connections to targets; must outlive the quarantine.
    explicit request_quarantine(target_connection_pool &pool)
        : m_pool(pool)
    { }

    void setNoticeSender(notice_sender sender) { m_sendNotice = std::move(sender); }

    /// @param fingerprint what the repeats of a request have in common; 0 if it is not known.
    /// @return whether the request must not be sent.
    bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const;

    /// Called when the connection was lost while a target may have run the request: finds out
    /// whether the target's process has ended.
    void noteLoss(const service_name &service, std::uint64_t fingerprint,
                  const target_entry &target);

    /// Called when a target answered the request.
    void noteAnswer(const service_name &service, std::uint64_t fingerprint);

    /// Handles a notice of another instance.
    /// @return whether the request is quarantined and the other instance does not know that.
    bool onNotice(const crash_notice_message &notice);

    /// Takes over what the store holds for a service.
    void onStored(const crash_record &record);

    /// Called when the store has come back from an older copy, which may lack records.
    void forgetStored() { m_archive.forgetStored(); }

    /// Called by the coordinator of a service, which alone stores its record.
    /// @return the record that has to be stored now, if there is one.
    std::optional<crash_record> takeRecordToStore(const service_name &service);

    /// @return what is known of a request, for another instance.
    crash_notice_message noticeOf(const service_name &service, std::uint64_t fingerprint) const;

private:
    void onProbed(const target_id &target, bool hasCrashed);
    void noteCrash(const repeated_request &request, const target_crash &crash, bool isSeenHere);
    void logQuarantined(const repeated_request &request, const target_id &target) const;

    target_connection_pool &m_pool;
    notice_sender m_sendNotice;
    crash_history m_history;
    crash_archive m_archive;
    /// By target that is being probed: the requests whose connections to it were lost.
    std::map<target_id, std::vector<repeated_request>> m_probes;
};

} // namespace clementinebeam
