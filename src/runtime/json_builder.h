/// \file
/// Builds JSON values from parser events, within limits of depth and size.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "runtime/json.h"

namespace tackpick::runtime {

/// Builds a value while its text is parsed, and stops the parser as soon as a limit is exceeded.
/// The elements of one array of the root object can be passed on one by one instead of being kept.
class JsonBuilder final : public nlohmann::json_sax<Json> {
 public:
  explicit JsonBuilder(const JsonLimits& limits) : m_limits(limits) {}

  /// Passes the elements of the root's array `key` to `handler`. The array stays empty.
  void streamElements(std::string key, JsonElementHandler handler);

  [[nodiscard]] Json& root() { return m_root; }
  /// Returns why building stopped; empty if no limit was exceeded.
  [[nodiscard]] const std::string& error() const { return m_error; }

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override { return add(value); }
  bool string(string_t& value) override { return add(std::move(value)); }
  bool binary(binary_t& value) override { return add(std::move(value)); }
  bool start_object(std::size_t /*size*/) override { return open(Json::object()); }
  bool key(string_t& value) override;
  bool end_object() override { return closeContainer(); }
  bool start_array(std::size_t /*size*/) override { return open(Json::array()); }
  bool end_array() override { return closeContainer(); }
  bool parse_error(std::size_t position, const std::string& token,
                   const nlohmann::detail::exception& error) override;

 private:
  bool open(Json container);
  bool closeContainer();
  /// Adds a complete value to the innermost container.
  bool add(Json value);
  /// Counts a value or key. Returns false if there are too many.
  bool countValue();
  /// Whether the innermost container is the streamed array.
  [[nodiscard]] bool inStreamedArray() const;
  bool fail(std::string error);

  const JsonLimits m_limits;
  std::string m_streamedKey;
  JsonElementHandler m_onElement;
  bool m_streamedKeySeen = false;
  Json m_root;
  std::vector<Json> m_containers;   ///< open containers, outermost first
  std::vector<std::string> m_keys;  ///< of the open objects' current values
  std::size_t m_valueCount = 0;
  std::size_t m_countBeforeElement = 0;
  std::string m_error;
};

}  // namespace tackpick::runtime
