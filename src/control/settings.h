/// \file
/// The settings that operators can give tenants and workloads, with type, range and default.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tackpick::control {

enum class SettingKey : std::uint8_t {
  kPriority,           ///< 0 goes first; classes are strict
  kModel,              ///< the model whose engines serve the workload
  kRequestsPerSecond,  ///< sustained admission rate, per gateway
  kRequestBurst,       ///< requests admitted at once above the rate
  kInFlightLimit,      ///< requests queued or running, per gateway
  kTokenLimit,         ///< largest max_tokens of one request
  kDeadlineMillis,     ///< used when a request names no deadline
  kQueueWaitMillis,    ///< a request expected to wait longer is refused at once
  kStalenessBound,     ///< versions a sample may lie behind the trainer's
  kHedging,            ///< whether the tail of a batch may run twice
};

using SettingValue = std::variant<bool, std::int64_t, std::string>;

/// Type, range and default of one setting.
struct SettingSpec {
  SettingKey key;
  std::string_view name;  ///< as written in declarations
  SettingValue defaultValue;
  std::int64_t minimum = 0;  ///< integers only
  std::int64_t maximum = 0;  ///< integers only
  std::string_view meaning;
};

/// All settings, in the order of SettingKey.
[[nodiscard]] const std::vector<SettingSpec>& settingSpecs();
[[nodiscard]] const SettingSpec& settingSpec(SettingKey key);
[[nodiscard]] std::optional<SettingKey> findSettingKey(std::string_view name);

/// What is wrong with `value` for `key`, in one sentence; nothing when it is valid.
[[nodiscard]] std::optional<std::string> validateSetting(SettingKey key, const SettingValue& value);
[[nodiscard]] std::string toString(const SettingValue& value);

}  // namespace tackpick::control
