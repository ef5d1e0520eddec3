#pragma once

#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/nativelog/ilogclient.h"

namespace clementinebeam {

/// Log service with an HTTP and JSON interface.
class http_log_client : public i_log_client
{
public:
    explicit http_log_client(const network_address &address);

    /// @param handler called on any thread for each answer that is refused because it is broken.
    void setBrokenAnswerHandler(const broken_answer_handler &handler);

    void append(const std::string &stream, std::string payload,
                std::function<void()> onAppended) override;
    result<log_batch> read(const std::string &stream, log_offset from,
                           std::chrono::milliseconds timeout) override;

private:
    http_channel m_readChannel;
    http_channel m_appendChannel;
};

} // namespace clementinebeam
