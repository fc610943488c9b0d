/// \file
/// Settings of tenants and workloads with type, range and default.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tackpick::control {

enum class SettingKey : std::uint8_t {
  kPriority,           ///< 0 is the highest; classes are strict
  kModel,              ///< model whose engines serve the workload
  kRequestsPerSecond,  ///< sustained admission rate per gateway
  kRequestBurst,       ///< requests admitted at once above the rate
  kInFlightLimit,      ///< maximum number of requests queued or running per gateway
  kTokenLimit,         ///< maximum max_tokens of one request
  kDeadlineMillis,     ///< deadline of requests that specify none
  kQueueWaitMillis,    ///< maximum expected wait; longer ones are rejected at once
  kStalenessBound,     ///< maximum number of versions that a sample may be behind its trainer
  kHedging,            ///< whether the last requests of a batch may run twice
};

using SettingValue = std::variant<bool, std::int64_t, std::string>;

/// Type, range and default of one setting.
struct SettingSpec {
  SettingKey key;
  std::string_view name;  ///< name in declarations
  SettingValue defaultValue;
  std::int64_t minimum = 0;  ///< integers only
  std::int64_t maximum = 0;  ///< integers only
  std::string_view description;
};

/// Returns all settings in the order of SettingKey.
[[nodiscard]] const std::vector<SettingSpec>& settingSpecs();
[[nodiscard]] const SettingSpec& settingSpec(SettingKey key);
[[nodiscard]] std::optional<SettingKey> findSettingKey(std::string_view name);

/// Returns an error message if `value` is invalid for `key`; std::nullopt if it is valid.
[[nodiscard]] std::optional<std::string> validateSetting(SettingKey key, const SettingValue& value);
[[nodiscard]] std::string toString(const SettingValue& value);

}  // namespace tackpick::control
