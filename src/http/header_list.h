/// \file
/// The header fields of one HTTP message, in order and with duplicates.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tackpick::http {

struct HeaderField {
  std::string name;
  std::string value;
};

/// True when both names are the same header's (case does not count).
[[nodiscard]] bool sameHeaderName(std::string_view left, std::string_view right);

class HeaderList {
 public:
  void add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  /// Replaces every field of that name by one.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
  /// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), and framing.
  void removeHopByHopHeaders();
  /// The first value, or an empty text.
  [[nodiscard]] std::string value(std::string_view name) const;
  [[nodiscard]] bool has(std::string_view name) const;
  [[nodiscard]] const std::vector<HeaderField>& fields() const { return fields_; }
  [[nodiscard]] std::vector<HeaderField>& fields() { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

}  // namespace tackpick::http
