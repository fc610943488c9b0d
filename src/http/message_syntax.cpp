#include "http/message_syntax.h"

#include <algorithm>

namespace tackpick::http {

bool isValidStatusLine(std::string_view line) {
  // `d`: a digit, `c`: the first digit of a status code, `e`: the end of the code.
  constexpr std::string_view kPattern = "HTTP/1.d cdde";
  static_assert(kPattern.size() == kStatusLineBytes);
  constexpr std::string_view kCodeEnds = " \r\n";
  const auto matches = [&](char expected, char byte) {
    switch (expected) {
      case 'd':
        return byte >= '0' && byte <= '9';
      case 'c':
        return byte >= '1' && byte <= '5';
      case 'e':
        return kCodeEnds.find(byte) != std::string_view::npos;
      default:
        return byte == expected;
    }
  };
  if (line.size() < kStatusLineBytes ||
      !std::equal(kPattern.begin(), kPattern.end(), line.begin(), matches)) {
    return false;
  }
  constexpr std::string_view kSwitchingProtocols = "101";
  return line.substr(kPattern.find('c'), kSwitchingProtocols.size()) != kSwitchingProtocols;
}

bool hasValidFields(const HeaderList& headers) {
  const std::vector<HeaderField>& fields = headers.fields();
  return std::all_of(fields.begin(), fields.end(), [](const HeaderField& field) {
    return isValidHeaderField(field.name, field.value);
  });
}

bool hasValidTransferEncoding(const HeaderList& headers) {
  std::size_t count = 0;
  for (const HeaderField& field : headers.fields()) {
    if (!equalsHeaderName(field.name, "Transfer-Encoding")) {
      continue;
    }
    // The parser has removed spaces before the value only.
    const std::string_view value = std::string_view(field.value);
    const std::size_t end = value.find_last_not_of(" \t");
    if (++count > 1 || !equalsHeaderName(value.substr(0, end + 1), "chunked")) {
      return false;
    }
  }
  return true;
}

}  // namespace tackpick::http
