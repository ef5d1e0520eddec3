#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/details/helpers.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace clementinebeam {

/// Reads what cereal::PortableBinaryOutputArchive wrote, and refuses sizes beyond the input.
///
/// cereal's own input archive allocates whatever size a damaged message names.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    /// @param bytes the input; outlives the archive.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof(isLittleEndian), 1);
        m_swaps = isLittleEndian != 1;
    }

    /// Reads values of one size.
    /// @param data where to put them.
    /// @param size their total size in bytes.
    /// @param valueSize the size of one value in bytes.
    void read(void *data, std::size_t size, std::size_t valueSize)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("message is truncated");
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
        if (!m_swaps || valueSize < 2)
            return;
        auto *bytes = static_cast<unsigned char *>(data);
        for (std::size_t at = 0; at < size; at += valueSize)
            std::reverse(bytes + at, bytes + at + valueSize);
    }

    /// @param size number of elements that a message names.
    void checkSize(std::uint64_t size) const
    {
        if (size > m_bytes.size())
            throw cereal::Exception("size is beyond the message");
    }

private:
    std::string_view m_bytes;
    bool m_swaps = false;
};

// cereal finds these by their name.
// NOLINTBEGIN(readability-identifier-naming)

template <class value_type>
std::enable_if_t<std::is_arithmetic_v<value_type>>
CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &archive, value_type &value)
{
    archive.read(&value, sizeof(value), sizeof(value));
}

template <class value_type>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive &archive,
                                    cereal::NameValuePair<value_type> &pair)
{
    archive(pair.value);
}

template <class value_type>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive &archive,
                                    cereal::SizeTag<value_type> &tag)
{
    archive(tag.size);
    archive.checkSize(tag.size);
}

template <class value_type>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &archive, cereal::BinaryData<value_type> &data)
{
    using element_type = std::remove_pointer_t<value_type>;
    archive.read(data.data, static_cast<std::size_t>(data.size), sizeof(element_type));
}

// NOLINTEND(readability-identifier-naming)

} // namespace clementinebeam

// cereal asks each input archive for its counterpart.
template <>
struct cereal::traits::detail::get_output_from_input<clementinebeam::bounded_input_archive> {
    using type = cereal::PortableBinaryOutputArchive;
};
