/// \file
/// Sections of the response to `GET /v1/work`, as tables or JSON.
#pragma once

#include <string>
#include <vector>

#include "runtime/json.h"

namespace tackpick::ctl {

/// Returns the names of all sections in display order.
[[nodiscard]] const std::vector<std::string>& workSections();
[[nodiscard]] bool isWorkSection(const std::string& name);
/// Whether the response contains the section. False if the leader of its group did not answer.
[[nodiscard]] bool hasWorkSection(const runtime::Json& response, const std::string& section);
/// Returns the `rows` of the section and their `total`, which includes omitted rows. Returns null
/// if the leader of its group did not answer.
[[nodiscard]] runtime::Json workSection(const runtime::Json& response, const std::string& section);
/// Returns a title line and a table of the rows, or one line with a message if the leader of its
/// group did not answer.
[[nodiscard]] std::string workTable(const runtime::Json& response, const std::string& section);

}  // namespace tackpick::ctl
