#pragma once

#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/nativelog/iinstancelist.h"

namespace clementinebeam {

/// Reads the instance list as JSON over HTTP.
class http_instance_list : public i_instance_list
{
public:
    explicit http_instance_list(const network_address &address);

    /// @param handler called on any thread for each answer that is refused because it is broken.
    void setBrokenAnswerHandler(const broken_answer_handler &handler);

    result<std::vector<listing>> fetch(std::chrono::milliseconds timeout) override;

private:
    http_channel m_channel;
};

} // namespace clementinebeam
