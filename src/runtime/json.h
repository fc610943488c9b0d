/// \file
/// Validating JSON parser and reader.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.h"

namespace tackpick::runtime {

using Json = nlohmann::json;

/// Limits of a parsed text. A value can take a hundred times the memory of its text.
struct JsonLimits {
  std::size_t maxDepth = 16;
  std::size_t maxValues = 250'000;  ///< values and keys
};

/// Parses a JSON text. Fails on invalid UTF-8 and when a limit is exceeded.
[[nodiscard]] base::Result<Json> parseJson(const std::string& text, const JsonLimits& limits = {});

/// Receives one element of an array.
using JsonElementHandler = std::function<void(Json element)>;

/// Parses a JSON text and passes the elements of the root's array `key` to `handler` as soon as
/// they are parsed. The returned root has an empty array instead. The limit of values applies to
/// each element separately.
[[nodiscard]] base::Result<Json> parseJsonElements(const std::string& text, const std::string& key,
                                                   const JsonElementHandler& handler,
                                                   const JsonLimits& limits = {});

/// Serializes JSON. Invalid UTF-8 is replaced by U+FFFD: strings may hold bytes that other systems
/// sent, and Json::dump() throws for them by default.
[[nodiscard]] std::string dumpJson(const Json& json);

/// Reads typed fields of an object and stores the first error, which names the field. Invalid
/// values are replaced by the fallback.
class JsonReader {
 public:
  explicit JsonReader(const Json& object);

  std::string getString(const char* key, const std::string& fallback = {});
  std::string getRequiredString(const char* key);
  /// Returns the integer under `key`, which must be in [min, max].
  std::int64_t getInteger(const char* key, std::int64_t fallback, std::int64_t min,
                          std::int64_t max);
  bool getBool(const char* key, bool fallback);
  /// Returns the array under `key`. If it is missing or has another type, returns an empty array
  /// and stores an error.
  const Json& getArray(const char* key);
  void addError(const std::string& message);
  /// Returns the first error; empty if there is none.
  [[nodiscard]] const std::string& firstError() const { return m_firstError; }

 private:
  const Json& object_;
  std::string m_firstError;
};

}  // namespace tackpick::runtime
