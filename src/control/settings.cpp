#include "control/settings.h"

namespace tackpick::control {
namespace {

constexpr std::int64_t kMaxPriority = 9;
constexpr std::int64_t kDefaultPriority = 5;
constexpr std::int64_t kMaxRate = 1'000'000;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxMillis = 86'400'000;
constexpr std::int64_t kMaxStaleness = 1'000;

std::vector<SettingSpec> makeSettingSpecs() {
  using Key = SettingKey;
  const auto integer = [](std::int64_t value) { return SettingValue{value}; };
  return {
      {Key::kPriority, "priority", integer(kDefaultPriority), 0, kMaxPriority,
       "priority class; 0 is the highest"},
      {Key::kModel, "model", SettingValue{std::string("default")}, 0, 0, "model to run"},
      {Key::kRequestsPerSecond, "requests_per_second", integer(1000), 1, kMaxRate,
       "admission rate of one gateway"},
      {Key::kRequestBurst, "request_burst", integer(1000), 1, kMaxRate,
       "requests admitted at once above the rate"},
      {Key::kInFlightLimit, "in_flight_limit", integer(2000), 1, kMaxRate,
       "requests queued or running in one gateway"},
      {Key::kTokenLimit, "token_limit", integer(8192), 1, kMaxTokens,
       "maximum max_tokens of one request"},
      {Key::kDeadlineMillis, "deadline_ms", integer(60'000), 1, kMaxMillis,
       "deadline of requests that specify none"},
      {Key::kQueueWaitMillis, "queue_wait_ms", integer(10'000), 1, kMaxMillis,
       "maximum expected wait; longer ones are rejected"},
      {Key::kStalenessBound, "staleness_bound", integer(4), 0, kMaxStaleness,
       "maximum versions of a sample behind its trainer"},
      {Key::kHedging, "hedging", SettingValue{true}, 0, 0,
       "whether the last requests of a batch may run twice"},
  };
}

}  // namespace

const std::vector<SettingSpec>& settingSpecs() {
  static const std::vector<SettingSpec> kSettingSpecs = makeSettingSpecs();
  return kSettingSpecs;
}

const SettingSpec& settingSpec(SettingKey key) {
  return settingSpecs().at(static_cast<std::size_t>(key));
}

std::optional<SettingKey> findSettingKey(std::string_view name) {
  for (const SettingSpec& spec : settingSpecs()) {
    if (spec.name == name) {
      return spec.key;
    }
  }
  return std::nullopt;
}

std::optional<std::string> validateSetting(SettingKey key, const SettingValue& value) {
  if (static_cast<std::size_t>(key) >= settingSpecs().size()) {
    return "unknown setting";
  }
  const SettingSpec& spec = settingSpec(key);
  const std::string name(spec.name);
  if (value.index() != spec.defaultValue.index()) {
    static const std::vector<std::string> kTypeNames = {"true or false", "an integer", "a string"};
    return name + ": expected " + kTypeNames.at(spec.defaultValue.index());
  }
  if (const auto* text = std::get_if<std::string>(&value)) {
    constexpr std::size_t kMaxTextLength = 128;
    if (text->empty() || text->size() > kMaxTextLength) {
      return name + ": expected 1 to 128 characters";
    }
  }
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    if (*number < spec.minimum || *number > spec.maximum) {
      return name + ": expected " + std::to_string(spec.minimum) + " to " +
             std::to_string(spec.maximum) + ", got " + std::to_string(*number);
    }
  }
  return std::nullopt;
}

std::string toString(const SettingValue& value) {
  if (const auto* flag = std::get_if<bool>(&value)) {
    return *flag ? "true" : "false";
  }
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    return std::to_string(*number);
  }
  return std::get<std::string>(value);
}

}  // namespace tackpick::control
