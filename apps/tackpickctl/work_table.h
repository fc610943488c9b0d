/// \file
/// The answer to `GET /v1/work` by its parts, as tables.
#pragma once

#include <string>
#include <vector>

#include "runtime/json.h"

namespace tackpick::ctl {

/// Names of all parts, in the order in which they are shown.
[[nodiscard]] const std::vector<std::string>& workParts();
[[nodiscard]] bool isWorkPart(const std::string& name);
/// False when the leader that knows this part did not answer.
[[nodiscard]] bool hasWorkPart(const runtime::Json& answer, const std::string& part);
/// `rows` of the part and their `total`, which counts those that were left out too; null when its
/// leader did not answer.
[[nodiscard]] runtime::Json workPart(const runtime::Json& answer, const std::string& part);
/// A title line and a row each; one line that says so when its leader did not answer.
[[nodiscard]] std::string workTable(const runtime::Json& answer, const std::string& part);

}  // namespace tackpick::ctl
