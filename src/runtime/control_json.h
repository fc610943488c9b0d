/// \file
/// JSON format of the operator interface, shared by the controllers and tackpickctl.
#pragma once

#include <optional>
#include <string>

#include "control/control_commands.h"
#include "runtime/json.h"

namespace tackpick::runtime {

[[nodiscard]] Json valuesJson(const std::map<control::SettingKey, control::SettingValue>& values);
/// Returns the setting value; std::nullopt if the JSON value has an unsupported type.
[[nodiscard]] std::optional<control::SettingValue> parseSettingValue(const Json& value);

[[nodiscard]] Json stateJson(const control::ControlDelta& state);
[[nodiscard]] Json outcomeJson(const control::ChangeOutcome& outcome);
[[nodiscard]] Json historyJson(const control::HistoryResult& history);

/// Parses the body of POST /v1/control/apply: `{request_id, author, dry_run, changes}`.
[[nodiscard]] base::Result<control::ControlCommand> parseApplyRequest(const std::string& body);

[[nodiscard]] std::string toString(control::ChangeStatus status);
[[nodiscard]] std::string toString(control::CredentialRole role);

}  // namespace tackpick::runtime
