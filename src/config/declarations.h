/// \file
/// Declarations of tenants, workloads and their settings, as kept in version control.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "control/settings.h"

namespace tackpick::config {

/// A node that the declarations name, with all the values it shall have.
struct DeclaredNode {
  std::string path;
  std::map<control::SettingKey, control::SettingValue> values;
};

/// Reads every .yaml file of a folder, or one file. Each node may be declared once. All problems
/// are in the error's message, one a line.
[[nodiscard]] base::Result<std::vector<DeclaredNode>> loadDeclarations(const std::string& path);

/// Parses a value given on the command line as the type of `key`.
[[nodiscard]] base::Result<control::SettingValue> parseSetting(control::SettingKey key,
                                                               const std::string& text);

}  // namespace tackpick::config
