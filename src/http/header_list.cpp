#include "http/header_list.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace tackpick::http {

bool equalsHeaderName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

void HeaderList::set(std::string_view name, std::string value) {
  remove(name);
  add(std::string(name), std::move(value));
}

void HeaderList::remove(std::string_view name) {
  std::erase_if(fields_,
                [&](const HeaderField& field) { return equalsHeaderName(field.name, name); });
}

bool isValidHeaderField(std::string_view name, std::string_view value) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  const auto isTokenCharacter = [&](char c) {
    const bool alphanumeric =
        (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return alphanumeric || kTokenSymbols.find(c) != std::string_view::npos;
  };
  constexpr std::string_view kForbidden("\r\n\0", 3);
  return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter) &&
         value.find_first_of(kForbidden) == std::string_view::npos;
}

bool isValidTarget(std::string_view target) {
  constexpr unsigned char kSpace = ' ';
  constexpr unsigned char kDelete = 0x7f;
  return !target.empty() && std::all_of(target.begin(), target.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte > kSpace && byte != kDelete;
  });
}

void HeaderList::removeHopByHopHeaders() {
  static constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
      "connection", "keep-alive",        "proxy-connection", "te",    "trailer",
      "upgrade",    "transfer-encoding", "content-length",   "expect"};
  std::string connectionTokens;
  for (const HeaderField& field : fields_) {
    if (equalsHeaderName(field.name, "connection")) {
      connectionTokens += "," + field.value;
    }
  }
  std::size_t start = 0;
  while (start < connectionTokens.size()) {
    const std::size_t end = std::min(connectionTokens.find(',', start), connectionTokens.size());
    std::string token = connectionTokens.substr(start, end - start);
    std::erase(token, ' ');
    if (!token.empty()) {
      remove(token);
    }
    start = end + 1;
  }
  for (const std::string_view name : kHopByHopHeaders) {
    remove(name);
  }
}

std::string HeaderList::value(std::string_view name) const {
  for (const HeaderField& field : fields_) {
    if (equalsHeaderName(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool HeaderList::has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(),
                     [&](const HeaderField& field) { return equalsHeaderName(field.name, name); });
}

}  // namespace tackpick::http
