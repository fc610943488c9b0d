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
