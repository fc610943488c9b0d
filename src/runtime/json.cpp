#include "runtime/json.h"

#include <utility>

#include "runtime/json_builder.h"

namespace tackpick::runtime {

namespace {

base::Result<Json> parseWith(JsonBuilder& builder, const std::string& text) {
  if (!Json::sax_parse(text, &builder)) {
    return base::fail(base::ErrorCode::kInvalidInput, builder.error());
  }
  return std::move(builder.root());
}

}  // namespace

base::Result<Json> parseJson(const std::string& text, const JsonLimits& limits) {
  JsonBuilder builder(limits);
  return parseWith(builder, text);
}

base::Result<Json> parseJsonElements(const std::string& text, const std::string& key,
                                     const JsonElementHandler& handler, const JsonLimits& limits) {
  JsonBuilder builder(limits);
  builder.streamElements(key, handler);
  return parseWith(builder, text);
}

std::string dumpJson(const Json& json) {
  constexpr int kCompact = -1;
  return json.dump(kCompact, ' ', false, Json::error_handler_t::replace);
}

JsonReader::JsonReader(const Json& object) : object_(object) {
  if (!object_.is_object()) {
    addError("expected a JSON object");
  }
}

void JsonReader::addError(const std::string& message) {
  if (m_firstError.empty()) {
    m_firstError = message;
  }
}

std::string JsonReader::getString(const char* key, const std::string& fallback) {
  if (!object_.is_object() || !object_.contains(key)) {
    return fallback;
  }
  const Json& value = object_[key];
  if (!value.is_string()) {
    addError(std::string(key) + ": expected a string");
    return fallback;
  }
  return value.get<std::string>();
}

std::string JsonReader::getRequiredString(const char* key) {
  std::string value = getString(key);
  if (value.empty()) {
    addError(std::string(key) + ": expected a string; the field is required");
  }
  return value;
}

std::int64_t JsonReader::getInteger(const char* key, std::int64_t fallback, std::int64_t min,
                                    std::int64_t max) {
  if (!object_.is_object() || !object_.contains(key)) {
    return fallback;
  }
  const Json& value = object_[key];
  const bool tooLarge =
      value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(max);
  if (!value.is_number_integer() || tooLarge || value.get<std::int64_t>() < min ||
      value.get<std::int64_t>() > max) {
    addError(std::string(key) + ": expected an integer from " + std::to_string(min) + " to " +
             std::to_string(max));
    return fallback;
  }
  return value.get<std::int64_t>();
}

bool JsonReader::getBool(const char* key, bool fallback) {
  if (!object_.is_object() || !object_.contains(key)) {
    return fallback;
  }
  const Json& value = object_[key];
  if (!value.is_boolean()) {
    addError(std::string(key) + ": expected true or false");
    return fallback;
  }
  return value.get<bool>();
}

const Json& JsonReader::getArray(const char* key) {
  static const Json kEmpty = Json::array();
  if (!object_.is_object() || !object_.contains(key) || !object_[key].is_array()) {
    addError(std::string(key) + ": expected an array");
    return kEmpty;
  }
  return object_[key];
}

}  // namespace tackpick::runtime
