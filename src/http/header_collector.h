/// \file
/// Collects the header fields that http_parser hands over in pieces.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "http/header_list.h"

namespace tackpick::http {

class HeaderCollector {
 public:
  void onName(const char* at, std::size_t length) {
    if (in_value_) {
      flush();
    }
    name_.append(at, length);
  }
  void onValue(const char* at, std::size_t length) {
    in_value_ = true;
    value_.append(at, length);
  }
  /// The headers are complete: the collected ones, and nothing is left here.
  [[nodiscard]] HeaderList take() {
    if (in_value_) {
      flush();
    }
    return std::exchange(headers_, {});
  }

 private:
  void flush() {
    headers_.add(std::exchange(name_, {}), std::exchange(value_, {}));
    in_value_ = false;
  }

  HeaderList headers_;
  std::string name_;
  std::string value_;
  bool in_value_ = false;
};

}  // namespace tackpick::http
