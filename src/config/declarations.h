/// \file
/// Declarations of tenants, workloads and their settings, as kept in version control.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "control/settings.h"

namespace tackpick::config {

/// A declared tenant or workload with all of its setting values.
struct DeclaredNode {
  std::string path;
  std::map<control::SettingKey, control::SettingValue> values;
};

/// Reads all .yaml files of a directory, or one file. Each node may be declared only once. The
/// error message contains all errors found, one per line.
[[nodiscard]] base::Result<std::vector<DeclaredNode>> loadDeclarations(const std::string& path);

/// Parses a value from the command line as the type of `key`.
[[nodiscard]] base::Result<control::SettingValue> parseSetting(control::SettingKey key,
                                                               const std::string& text);

}  // namespace tackpick::config
