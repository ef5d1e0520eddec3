#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinebeam {

using instance_id = std::string;
using target_id = std::string;
using service_name = std::string;
using member_name = std::string;
using slot_index = std::uint32_t;
using log_offset = std::uint64_t;
/// Log offset plus 1 of the record that assigned a slot; 0 is none.
using epoch_number = std::uint64_t;
/// Log offset plus 1 of the record that named a leader; 0 is none.
using term_number = std::uint64_t;

/// Identifies one shard: a part of a service's slots with its own leader, standby and targets.
struct shard_id {
    service_name service;
    std::uint32_t index = 0;

    auto operator<=>(const shard_id &) const = default;

    /// @return "service/index".
    std::string text() const { return service + '/' + std::to_string(index); }

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, index);
    }
};

/// Identifies one run of a process; a restarted process gets a new incarnation number.
struct incarnation_id {
    instance_id instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const incarnation_id &) const = default;

    /// @return whether no process is identified.
    bool empty() const { return instance.empty(); }

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(instance, incarnation);
    }
};

/// Random 128-bit identifier of a log record.
struct record_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const record_id &) const = default;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(high, low);
    }
};

/// @param text any bytes.
/// @param seed selects an independent hash function.
/// @return the XXH3 hash of @p text.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @param key the request's key.
/// @param slotCount number of slots of the service; above 0.
/// @return the slot of the key, below @p slotCount.
slot_index slotOf(std::string_view key, slot_index slotCount) noexcept;

} // namespace clementinebeam
