#pragma once

#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/nativelog/ilogclient.h"

namespace clementinebeam {

/// Log service over HTTP with JSON.
class http_log_client : public i_log_client
{
public:
    explicit http_log_client(const network_address &address);

    void append(const std::string &stream, std::string payload,
                std::function<void()> onAppended) override;
    result<log_batch> read(const std::string &stream, log_offset from,
                           std::chrono::milliseconds timeout) override;

private:
    http_channel m_reads;
    http_channel m_appends;
};

} // namespace clementinebeam
