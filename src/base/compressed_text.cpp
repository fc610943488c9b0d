#include "base/compressed_text.h"

#include "base/compression.h"

namespace tackpick::base {

CompressedText::CompressedText(std::string_view text) : m_length(text.size()) {
  if (!text.empty()) {
    m_chunks.push_back(compress(Bytes(text)));
  }
}

void CompressedText::append(const CompressedText& more) {
  m_chunks.insert(m_chunks.end(), more.m_chunks.begin(), more.m_chunks.end());
  m_length += more.m_length;
}

std::optional<std::string> CompressedText::decompressedText() const {
  std::string text;
  for (const Bytes& chunk : m_chunks) {
    const auto chunkText = decompress(chunk, m_length - text.size());
    if (!chunkText) {
      return std::nullopt;
    }
    text += *chunkText;
  }
  return text.size() == m_length ? std::optional(std::move(text)) : std::nullopt;
}

bool operator==(const CompressedText& left, const CompressedText& right) {
  return left.length() == right.length() && left.decompressedText() == right.decompressedText();
}

bool operator==(const CompressedText& compressed, std::string_view text) {
  return compressed.length() == text.size() && compressed.decompressedText() == text;
}

}  // namespace tackpick::base
