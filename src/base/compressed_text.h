/// \file
/// A text that is stored and sent compressed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/serialization.h"

namespace tackpick::base {

/// A text that is compressed where it is created and decompressed where it is read. Processes that
/// store or forward it do neither. Texts are concatenated without decompression.
class CompressedText {
 public:
  CompressedText() = default;
  explicit CompressedText(std::string_view text);

  void append(const CompressedText& more);
  /// Returns the length of the uncompressed text in bytes.
  [[nodiscard]] std::uint64_t length() const { return m_length; }
  /// Returns the uncompressed text; std::nullopt if the compressed data is corrupt.
  [[nodiscard]] std::optional<std::string> decompressedText() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_chunks, m_length);
  }

 private:
  std::vector<Bytes> m_chunks;  ///< separately compressed parts of the text, in order
  std::uint64_t m_length = 0;
};

/// Compares the uncompressed texts, regardless of how they are divided into chunks.
[[nodiscard]] bool operator==(const CompressedText& left, const CompressedText& right);
[[nodiscard]] bool operator==(const CompressedText& compressed, std::string_view text);

}  // namespace tackpick::base
