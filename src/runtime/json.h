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

  std::string text(const char* key, const std::string& fallback = {});
  std::string requiredText(const char* key);
  /// An integer in [minimum, maximum].
  std::int64_t integer(const char* key, std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum);
  bool flag(const char* key, bool fallback);
  /// The array under `key`; an empty one, and a problem, when it is missing or something else.
  const Json& array(const char* key);
  void problem(const std::string& message);
  /// The first problem, or an empty text.
  [[nodiscard]] const std::string& firstProblem() const { return problem_; }

 private:
  const Json& object_;
  std::string problem_;
};

}  // namespace tackpick::runtime
