/// \file
/// JSON of the operators' interface, shared by controllers and tackpickctl.
#pragma once

#include <optional>
#include <string>

#include "control/control_commands.h"
#include "runtime/json.h"

namespace tackpick::runtime {

[[nodiscard]] Json valuesJson(const std::map<control::SettingKey, control::SettingValue>& values);
/// A value as it stands in JSON, or nothing when it has another type.
[[nodiscard]] std::optional<control::SettingValue> parseSettingValue(const Json& value);

[[nodiscard]] Json stateJson(const control::ControlDelta& state);
[[nodiscard]] Json outcomeJson(const control::ChangeOutcome& outcome);
[[nodiscard]] Json historyJson(const control::HistoryResult& history);

/// The body of POST /v1/control/apply: `{request_id, author, dry_run, changes}`.
[[nodiscard]] base::Result<control::ControlCommand> parseApplyRequest(const std::string& body);

[[nodiscard]] std::string toString(control::ChangeStatus status);
[[nodiscard]] std::string toString(control::CredentialRole role);

}  // namespace tackpick::runtime
