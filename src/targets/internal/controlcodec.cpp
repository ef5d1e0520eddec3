#include "clementinebeam/targets/controlcodec.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

namespace {

nlohmann::json grantsToJson(const std::vector<slot_grant> &grants)
{
    auto list = nlohmann::json::array();
    for (const auto &grant : grants)
        list.push_back({grant.slot, grant.epoch});
    return list;
}

std::vector<slot_grant> grantsFromJson(const nlohmann::json &list)
{
    std::vector<slot_grant> grants;
    for (const auto &item : list)
        grants.push_back({item.at(0).get<slot_index>(), item.at(1).get<epoch_number>()});
    return grants;
}

template <class value_type, class read_function>
result<value_type> parse(const std::string &text, read_function read)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return make_error_code(error_kind::BadMessage);
    try {
        return read(document);
    } catch (const nlohmann::json::exception &) {
        return make_error_code(error_kind::BadMessage);
    }
}

} // namespace

std::string encodeControlRequest(const control_request &request)
{
    const nlohmann::json document{
            {"service", request.shard.service},
            {"shard", request.shard.index},
            {"term", request.term},
            {"sequence", request.sequence},
            {"holder", request.holder},
            {"nonce", request.nonce},
            {"lease_ms", request.lease.count()},
            {"grants", grantsToJson(request.grants)},
            {"revokes", request.revokes},
            {"prepares", request.prepares},
    };
    return document.dump();
}

result<control_request> decodeControlRequest(const std::string &text)
{
    return parse<control_request>(text, [](const nlohmann::json &document) {
        control_request request;
        document.at("service").get_to(request.shard.service);
        document.at("shard").get_to(request.shard.index);
        document.at("term").get_to(request.term);
        document.at("sequence").get_to(request.sequence);
        document.at("holder").get_to(request.holder);
        document.at("nonce").get_to(request.nonce);
        request.lease = std::chrono::milliseconds(document.at("lease_ms").get<std::int64_t>());
        request.grants = grantsFromJson(document.at("grants"));
        document.at("revokes").get_to(request.revokes);
        document.at("prepares").get_to(request.prepares);
        return request;
    });
}

std::string encodeControlReply(const control_reply &reply)
{
    const nlohmann::json document{
            {"accepted", reply.accepted}, {"incarnation", reply.incarnation},
            {"nonce", reply.nonce},       {"term", reply.term},
            {"sequence", reply.sequence}, {"held", grantsToJson(reply.held)},
            {"prepared", reply.prepared}, {"draining", reply.draining},
            {"running", reply.running},   {"queued", reply.queued},
    };
    return document.dump();
}

result<control_reply> decodeControlReply(const std::string &text)
{
    return parse<control_reply>(text, [](const nlohmann::json &document) {
        control_reply reply;
        reply.accepted = document.value("accepted", false);
        reply.incarnation = document.value("incarnation", std::uint64_t{0});
        reply.nonce = document.value("nonce", std::uint64_t{0});
        reply.term = document.value("term", term_number{0});
        reply.sequence = document.value("sequence", std::uint64_t{0});
        if (document.contains("held"))
            reply.held = grantsFromJson(document.at("held"));
        if (document.contains("prepared"))
            document.at("prepared").get_to(reply.prepared);
        reply.draining = document.value("draining", false);
        reply.running = document.value("running", 0U);
        reply.queued = document.value("queued", 0U);
        return reply;
    });
}

} // namespace clementinebeam
