/// \file
/// Header fields of an HTTP message.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tackpick::http {

struct HeaderField {
  std::string name;
  std::string value;
};

/// Whether two header names are equal, ignoring case.
[[nodiscard]] bool equalsHeaderName(std::string_view left, std::string_view right);

/// Whether a header field can be sent: its name is a token (RFC 9110, section 5.6.2) and its value
/// contains no CR, LF or NUL, which would end the field.
[[nodiscard]] bool isValidHeaderField(std::string_view name, std::string_view value);
/// Whether a request target can be sent: it contains no control character or space.
[[nodiscard]] bool isValidTarget(std::string_view target);

/// The header fields of one HTTP message, in order and with duplicates.
class HeaderList {
 public:
  void add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }
  /// Replaces all fields with this name by a single field.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
  /// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), the framing fields and Expect.
  void removeHopByHopHeaders();
  /// Returns the first value, or an empty string if there is no field with this name.
  [[nodiscard]] std::string value(std::string_view name) const;
  [[nodiscard]] bool has(std::string_view name) const;
  [[nodiscard]] const std::vector<HeaderField>& fields() const { return fields_; }
  [[nodiscard]] std::vector<HeaderField>& fields() { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

}  // namespace tackpick::http
