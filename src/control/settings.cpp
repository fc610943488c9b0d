#include "control/settings.h"

namespace tackpick::control {
namespace {

constexpr std::int64_t kLowestPriority = 9;
constexpr std::int64_t kDefaultPriority = 5;
constexpr std::int64_t kMaximumRate = 1'000'000;
constexpr std::int64_t kMaximumTokens = 1'000'000;
constexpr std::int64_t kMaximumMillis = 86'400'000;
constexpr std::int64_t kMaximumStaleness = 1'000;

std::vector<SettingSpec> makeSpecifications() {
  using Key = SettingKey;
  const auto integer = [](std::int64_t value) { return SettingValue{value}; };
  return {
      {Key::kPriority, "priority", integer(kDefaultPriority), 0, kLowestPriority,
       "priority class; 0 goes first"},
      {Key::kModel, "model", SettingValue{std::string("default")}, 0, 0, "model to run"},
      {Key::kRequestsPerSecond, "requests_per_second", integer(1000), 1, kMaximumRate,
       "admission rate of one gateway"},
      {Key::kRequestBurst, "request_burst", integer(1000), 1, kMaximumRate,
       "requests admitted at once above the rate"},
      {Key::kInFlightLimit, "in_flight_limit", integer(2000), 1, kMaximumRate,
       "requests queued or running in one gateway"},
      {Key::kTokenLimit, "token_limit", integer(8192), 1, kMaximumTokens,
       "largest max_tokens of one request"},
      {Key::kDeadlineMillis, "deadline_ms", integer(60'000), 1, kMaximumMillis,
       "deadline of a request that names none"},
      {Key::kQueueWaitMillis, "queue_wait_ms", integer(10'000), 1, kMaximumMillis,
       "longest expected wait before a request is refused"},
      {Key::kStalenessBound, "staleness_bound", integer(4), 0, kMaximumStaleness,
       "versions a sample may lie behind its trainer"},
      {Key::kHedging, "hedging", SettingValue{true}, 0, 0,
       "whether the tail of a batch may run twice"},
  };
}

}  // namespace

const std::vector<SettingSpec>& settingSpecs() {
  static const std::vector<SettingSpec> kSpecifications = makeSpecifications();
  return kSpecifications;
}

const SettingSpec& settingSpec(SettingKey key) {
  return settingSpecs().at(static_cast<std::size_t>(key));
}

std::optional<SettingKey> findSettingKey(std::string_view name) {
  for (const SettingSpec& specification : settingSpecs()) {
    if (specification.name == name) {
      return specification.key;
    }
  }
  return std::nullopt;
}

std::optional<std::string> validateSetting(SettingKey key, const SettingValue& value) {
  if (static_cast<std::size_t>(key) >= settingSpecs().size()) {
    return "unknown setting";
  }
  const SettingSpec& specification = settingSpec(key);
  const std::string name(specification.name);
  if (value.index() != specification.defaultValue.index()) {
    static const std::vector<std::string> kTypeNames = {"true or false", "an integer", "a text"};
    return name + ": expected " + kTypeNames.at(specification.defaultValue.index());
  }
  if (const auto* text = std::get_if<std::string>(&value)) {
    constexpr std::size_t kMaximumTextLength = 128;
    if (text->empty() || text->size() > kMaximumTextLength) {
      return name + ": expected 1 to 128 characters";
    }
  }
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    if (*number < specification.minimum || *number > specification.maximum) {
      return name + ": expected " + std::to_string(specification.minimum) + " to " +
             std::to_string(specification.maximum) + ", got " + std::to_string(*number);
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
