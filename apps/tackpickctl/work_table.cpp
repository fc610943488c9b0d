#include "work_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace tackpick::ctl {
namespace {

using runtime::Json;

/// One part of the answer.
struct Part {
  std::string name;                  ///< also the name of its list of rows
  std::string group;                 ///< whose leader tells it
  std::string total;                 ///< field with the number of all rows; empty: all are told
  std::vector<std::string> columns;  ///< fields of a row
  std::vector<std::string> extra;    ///< further fields beside the list
};

const std::vector<Part>& parts() {
  static const std::vector<Part> kParts = {
      {"jobs",
       "ledgers",
       "total_jobs",
       {"job", "tenant", "model", "minimum_version", "places_ready", "priority", "waiting",
        "running", "slack_s", "age_s"},
       {}},
      {"tenants", "ledgers", "", {"tenant", "waiting", "running", "share"}, {}},
      {"models",
       "controllers",
       "",
       {"model", "published", "needed", "places_needed", "places_ready", "places_loading",
        "expected_in_s"},
       {"loading", "load_budget"}},
      {"engines",
       "ledgers",
       "total_engines",
       {"engine", "zone", "pace_ms", "work_time_percent", "sample_age_s", "items"},
       {}},
      {"gateways",
       "ledgers",
       "total_gateways",
       {"gateway", "zone", "places", "held", "active", "slow_s"},
       {}},
  };
  return kParts;
}

const Part& partOf(const std::string& name) {
  return *std::find_if(parts().begin(), parts().end(),
                       [&](const Part& part) { return part.name == name; });
}

/// What the part's leader answered; null when it did not.
Json groupAnswer(const Json& answer, const Part& part) {
  return answer.value(part.group, Json(nullptr));
}

std::string cell(const Json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_number_float()) {
    return fmt::format("{:.2f}", value.get<double>());
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  return text.empty() ? "-" : text;
}

using Cells = std::vector<std::vector<std::string>>;

Cells cellsOf(const Json& rows, const Part& part) {
  Cells cells = {part.columns};
  for (const Json& row : rows) {
    std::vector<std::string>& line = cells.emplace_back();
    for (const std::string& column : part.columns) {
      line.push_back(cell(row.value(column, Json(nullptr))));
    }
  }
  return cells;
}

std::string aligned(const Cells& cells) {
  std::vector<std::size_t> widths(cells.front().size());
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : cells) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i) {
      row += fmt::format("  {:<{}}", line[i], widths[i]);
    }
    row.erase(row.find_last_not_of(' ') + 1);
    text += row + "\n";
  }
  return text;
}

std::uint64_t totalOf(const Json& told, const Part& part, std::uint64_t shown) {
  return part.total.empty() ? shown : told.value(part.total, shown);
}

std::string title(const Json& told, const Part& part, std::size_t shown) {
  std::string text = part.name + ":";
  const std::uint64_t total = totalOf(told, part, shown);
  text += total > shown ? fmt::format(" {} of {}", shown, total) : fmt::format(" {}", total);
  for (const std::string& field : part.extra) {
    text += fmt::format(" {}={}", field, told.value(field, std::uint64_t{0}));
  }
  return text + "\n";
}

}  // namespace

const std::vector<std::string>& workParts() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const Part& part : parts()) {
      names.push_back(part.name);
    }
    return names;
  }();
  return kNames;
}

bool isWorkPart(const std::string& name) {
  return std::find(workParts().begin(), workParts().end(), name) != workParts().end();
}

bool hasWorkPart(const Json& answer, const std::string& part) {
  return !groupAnswer(answer, partOf(part)).is_null();
}

Json workPart(const Json& answer, const std::string& name) {
  const Part& part = partOf(name);
  const Json told = groupAnswer(answer, part);
  if (told.is_null()) {
    return nullptr;
  }
  const Json rows = told.value(name, Json::array());
  Json shown = {{"rows", rows}, {"total", totalOf(told, part, rows.size())}};
  for (const std::string& field : part.extra) {
    shown[field] = told.value(field, std::uint64_t{0});
  }
  return shown;
}

std::string workTable(const Json& answer, const std::string& name) {
  const Part& part = partOf(name);
  const Json told = groupAnswer(answer, part);
  if (told.is_null()) {
    return fmt::format("{}: unknown, no leader of the {} answered\n", name, part.group);
  }
  const Json rows = told.value(name, Json::array());
  const std::string heading = title(told, part, rows.size());
  return rows.empty() ? heading : heading + aligned(cellsOf(rows, part));
}

}  // namespace tackpick::ctl
