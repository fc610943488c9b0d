#include "http/syntax_checker.h"

namespace tackpick::http {

std::string_view SyntaxChecker::nextPart(std::string_view data) const {
  if (m_headComplete) {
    return data;
  }
  const std::size_t lineEnd = data.find('\n');
  return lineEnd == std::string_view::npos ? data : data.substr(0, lineEnd + 1);
}

bool SyntaxChecker::accept(std::string_view part) {
  if (m_headComplete) {
    return !m_chunked || m_chunks.accept(part);
  }
  const bool folded = m_atLineStart && (part.starts_with(' ') || part.starts_with('\t'));
  m_atLineStart = part.ends_with('\n');
  return !folded;
}

}  // namespace tackpick::http
