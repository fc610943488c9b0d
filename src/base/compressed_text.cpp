#include "base/compressed_text.h"

#include "base/compression.h"

namespace tackpick::base {

CompressedText::CompressedText(std::string_view text) : m_length(text.size()) {
  if (!text.empty()) {
    m_parts.push_back(compress(Bytes(text)));
  }
}

void CompressedText::append(const CompressedText& more) {
  m_parts.insert(m_parts.end(), more.m_parts.begin(), more.m_parts.end());
  m_length += more.m_length;
}

std::optional<std::string> CompressedText::unpack() const {
  std::string text;
  for (const Bytes& part : m_parts) {
    const auto plain = decompress(part, m_length - text.size());
    if (!plain) {
      return std::nullopt;
    }
    text += *plain;
  }
  return text.size() == m_length ? std::optional(std::move(text)) : std::nullopt;
}

bool operator==(const CompressedText& left, const CompressedText& right) {
  return left.length() == right.length() && left.unpack() == right.unpack();
}

bool operator==(const CompressedText& packed, std::string_view text) {
  return packed.length() == text.size() && packed.unpack() == text;
}

}  // namespace tackpick::base
