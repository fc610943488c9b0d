/// \file
/// Checked JSON: bounded nesting, typed fields, errors that name the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.h"

namespace tackpick::runtime {

using Json = nlohmann::json;

/// Parses a body. Refuses invalid UTF-8 and deep nesting.
[[nodiscard]] base::Result<Json> parseJson(const std::string& text);

/// Reads fields of an object and collects the first problem.
class JsonReader {
 public:
  explicit JsonReader(const Json& object);

  std::string getString(const char* key, const std::string& fallback = {});
  std::string getRequiredString(const char* key);
  /// An integer in [min, max].
  std::int64_t getInteger(const char* key, std::int64_t fallback, std::int64_t min,
                          std::int64_t max);
  bool getBool(const char* key, bool fallback);
  /// The array under `key`; an empty one, and a problem, when it is missing or something else.
  const Json& getArray(const char* key);
  void addError(const std::string& message);
  /// The first problem, or an empty text.
  [[nodiscard]] const std::string& firstError() const { return m_firstError; }

 private:
  const Json& object_;
  std::string m_firstError;
};

}  // namespace tackpick::runtime
