/// \file
/// A cereal input archive that rejects lengths above the size of its input.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace tackpick::base {

/// Reads the output of cereal::PortableBinaryOutputArchive from a little-endian machine. Every
/// element takes at least one byte, so a length above the number of remaining bytes is invalid and
/// is rejected before memory is allocated for it.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), m_remaining(bytes) {
    std::uint8_t littleEndian = 0;
    read(&littleEndian, sizeof(littleEndian));
    if (littleEndian != 1) {
      throw cereal::Exception("input has a different byte order");
    }
  }

  void read(void* target, std::size_t size) {
    if (size > m_remaining.size()) {
      throw cereal::Exception("input is truncated");
    }
    std::memcpy(target, m_remaining.data(), size);
    m_remaining.remove_prefix(size);
  }
  [[nodiscard]] std::size_t remaining() const { return m_remaining.size(); }

 private:
  std::string_view m_remaining;
};

// The function names are defined by cereal.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                                                    T& value) {
  archive.read(&value, sizeof(value));
}

/// Reads a bool as a byte, so that values other than 0 and 1 are rejected.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.read(&byte, sizeof(byte));
  if (byte > 1) {
    throw cereal::Exception("not a bool");
  }
  value = byte == 1;
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.remaining()) {
    throw cereal::Exception("length exceeds the size of the input");
  }
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.read(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

}  // namespace tackpick::base

namespace cereal::traits::detail {
/// Names the output archive against which cereal checks save_minimal() and load_minimal().
template <>
struct get_output_from_input<tackpick::base::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail
