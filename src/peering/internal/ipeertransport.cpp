#include "clementinebeam/peering/ipeertransport.h"

#include <future>
#include <memory>

namespace clementinebeam {

result<peer_message> i_peer_transport::call(const instance_id &to, const peer_message &message,
                                            std::chrono::milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<result<peer_message>>>();
    auto future = promise->get_future();
    request(to, message, timeout,
            [promise](result<peer_message> reply) { promise->set_value(std::move(reply)); });
    constexpr std::chrono::milliseconds SCHEDULING_MARGIN{50};
    if (future.wait_for(timeout + SCHEDULING_MARGIN) != std::future_status::ready)
        return make_error_code(error_kind::PeerUnreachable);
    return future.get();
}

} // namespace clementinebeam
