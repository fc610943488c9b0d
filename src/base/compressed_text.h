/// \file
/// A text that is kept and sent compressed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/serialization.h"

namespace tackpick::base {

/// Compressed once, where the text is made, and unpacked once, where it is read: what passes it on
/// or keeps it spends no time on it. Texts are joined without unpacking.
class CompressedText {
 public:
  CompressedText() = default;
  explicit CompressedText(std::string_view text);

  void append(const CompressedText& more);
  /// Bytes of the text.
  [[nodiscard]] std::uint64_t length() const { return m_length; }
  /// The text; nothing when what was received is damaged.
  [[nodiscard]] std::optional<std::string> unpack() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_parts, m_length);
  }

 private:
  std::vector<Bytes> m_parts;  ///< compressed, in order
  std::uint64_t m_length = 0;
};

/// Compares texts, however they were joined.
[[nodiscard]] bool operator==(const CompressedText& left, const CompressedText& right);
[[nodiscard]] bool operator==(const CompressedText& packed, std::string_view text);

}  // namespace tackpick::base
