#pragma once

#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/targets/itargetclient.h"

#include <map>

namespace clementinebeam {

/// Calls targets over HTTP. Requests and control messages use separate connections.
class http_target_client : public i_target_client
{
public:
    explicit http_target_client(std::size_t connectionsPerTarget);

    using broken_target_answer_handler = std::function<void(
            const target_id &target, std::string_view source, const std::error_code &reason)>;

    /// @param handler called on any thread for each answer that is refused because it is broken;
    ///        source is "target" or "control". Set before targets are called.
    void setBrokenAnswerHandler(broken_target_answer_handler handler);

    void setTargets(const std::vector<target_address> &targets) override;
    target_answer call(const target_id &target, const target_request &request) override;
    void cancel(const target_id &target, const std::string &exchangeId) override;
    void control(const target_id &target, const control_request &request,
                 std::chrono::milliseconds timeout, control_callback callback) override;
    void probe(const target_id &target, std::chrono::milliseconds timeout,
               control_callback callback) override;

private:
    struct connections {
        network_address address;
        std::shared_ptr<http_channel> requests;
        std::shared_ptr<http_channel> control;
    };

    std::shared_ptr<http_channel> makeChannel(const target_id &target,
                                              const network_address &address,
                                              std::size_t connectionCount,
                                              std::string_view source) const;
    std::shared_ptr<http_channel> requestChannel(const target_id &target);
    std::shared_ptr<http_channel> controlChannel(const target_id &target);
    void postControl(const target_id &target, http_request request,
                     std::chrono::milliseconds timeout, control_callback callback);

    std::size_t m_connectionsPerTarget;
    broken_target_answer_handler m_onBrokenAnswer;
    ordered_mutex m_mutex{lock_rank::TargetTable};
    std::map<target_id, connections> m_targets;
};

} // namespace clementinebeam
