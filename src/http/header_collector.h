/// \file
/// Assembles header fields from the fragments that http_parser reports.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "http/header_list.h"

namespace tackpick::http {

/// Assembles the header fields of one message. Names and values may arrive in several fragments.
class HeaderCollector {
 public:
  void onName(const char* at, std::size_t length) {
    if (m_inValue) {
      flush();
    }
    name_.append(at, length);
  }
  void onValue(const char* at, std::size_t length) {
    m_inValue = true;
    value_.append(at, length);
  }
  /// Returns the memory of the collected headers.
  [[nodiscard]] std::size_t memoryBytes() const { return m_memoryBytes; }
  /// Returns the collected headers and clears the collector. Called at the end of the headers.
  [[nodiscard]] HeaderList take() {
    if (m_inValue) {
      flush();
    }
    m_memoryBytes = 0;
    return std::exchange(headers_, {});
  }

 private:
  void flush() {
    // The list of fields grows by doubling.
    m_memoryBytes += 2 * sizeof(HeaderField) + name_.size() + value_.size();
    headers_.add(std::exchange(name_, {}), std::exchange(value_, {}));
    m_inValue = false;
  }

  HeaderList headers_;
  std::string name_;
  std::string value_;
  std::size_t m_memoryBytes = 0;
  bool m_inValue = false;
};

}  // namespace tackpick::http
