#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/details/helpers.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace clementinebeam {

/// Reads the format of cereal::PortableBinaryOutputArchive, with bounds checks on element counts.
///
/// Replaces cereal::PortableBinaryInputArchive, which allocates memory for any element count that a
/// corrupt message contains. Throws cereal::Exception if the input is truncated or a count exceeds
/// the number of bytes left.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
    /// @param bytes the input; must outlive the archive.
    explicit bounded_input_archive(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        std::uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof(isLittleEndian), 1);
        m_swapBytes = isLittleEndian != 1;
    }

    /// Reads values of equal size and converts them to the byte order of this machine.
    /// @param data receives the values.
    /// @param size total size of the values in bytes.
    /// @param valueSize size of one value in bytes.
    /// @throws cereal::Exception if fewer than @p size bytes are left.
    void read(void *data, std::size_t size, std::size_t valueSize)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("message is truncated");
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
        if (!m_swapBytes || valueSize < 2)
            return;
        auto *bytes = static_cast<unsigned char *>(data);
        for (std::size_t offset = 0; offset < size; offset += valueSize)
            std::reverse(bytes + offset, bytes + offset + valueSize);
    }

    /// Checks an element count; each element takes at least one byte.
    /// @param size number of elements, as read from the input.
    /// @throws cereal::Exception if @p size exceeds the number of bytes left.
    void checkSize(std::uint64_t size) const
    {
        if (size > m_bytes.size())
            throw cereal::Exception("element count exceeds the message size");
    }

private:
    std::string_view m_bytes;
    bool m_swapBytes = false;
};

// cereal looks these functions up by name.
// NOLINTBEGIN(readability-identifier-naming)

template <class value_type>
std::enable_if_t<std::is_arithmetic_v<value_type>>
CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive &archive, value_type &value)
{
    if constexpr (std::is_same_v<value_type, bool>) {
        std::uint8_t byte = 0; // A bool that holds neither 0 nor 1 would be undefined.
        archive.read(&byte, sizeof(byte), sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value), sizeof(value));
    }
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

// cereal requires every input archive to name its output archive.
template <>
struct cereal::traits::detail::get_output_from_input<clementinebeam::bounded_input_archive> {
    using type = cereal::PortableBinaryOutputArchive;
};
