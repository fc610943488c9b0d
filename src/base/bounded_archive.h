/// \file
/// A cereal input archive that refuses lengths no input could hold.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace tackpick::base {

/// Reads what cereal::PortableBinaryOutputArchive wrote on a little-endian machine. Every element
/// takes at least one byte, so a length above the bytes that are left is forged or damaged and is
/// refused before anything is allocated for it.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), rest_(bytes) {
    std::uint8_t littleEndian = 0;
    read(&littleEndian, sizeof(littleEndian));
    if (littleEndian != 1) {
      throw cereal::Exception("written on a machine of another byte order");
    }
  }

  void read(void* target, std::size_t size) {
    if (size > rest_.size()) {
      throw cereal::Exception("the input ends early");
    }
    std::memcpy(target, rest_.data(), size);
    rest_.remove_prefix(size);
  }
  [[nodiscard]] std::size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

// The names are cereal's.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                                                    T& value) {
  archive.read(&value, sizeof(value));
}

/// A bool is read as a byte, so that a damaged one is refused.
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
    throw cereal::Exception("a length above the input's");
  }
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.read(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

}  // namespace tackpick::base

namespace cereal::traits::detail {
/// Types with save_minimal() and load_minimal() are checked against the archive that writes.
template <>
struct get_output_from_input<tackpick::base::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail
