#include "work_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace tackpick::ctl {
namespace {

using runtime::Json;

/// Description of a section.
struct Section {
  std::string name;   ///< name of the section and of the field with its rows
  std::string group;  ///< group whose leader returns the section
  std::string total;  ///< field with the total number of rows; empty if no rows are omitted
  std::vector<std::string> columns;        ///< fields of a row that are shown
  std::vector<std::string> summaryFields;  ///< further fields that are shown in the title
};

const std::vector<Section>& sections() {
  static const std::vector<Section> kSections = {
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
  return kSections;
}

const Section& findSection(const std::string& name) {
  return *std::find_if(sections().begin(), sections().end(),
                       [&](const Section& section) { return section.name == name; });
}

/// Returns the fields that the leader of the section's group returned, or null if it did not
/// answer.
Json groupResponse(const Json& response, const Section& section) {
  return response.value(section.group, Json(nullptr));
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

Cells makeCells(const Json& rows, const Section& section) {
  Cells cells = {section.columns};
  for (const Json& row : rows) {
    std::vector<std::string>& line = cells.emplace_back();
    for (const std::string& column : section.columns) {
      line.push_back(cell(row.value(column, Json(nullptr))));
    }
  }
  return cells;
}

std::string formatTable(const Cells& cells) {
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

std::uint64_t totalOf(const Json& groupFields, const Section& section, std::uint64_t shown) {
  return section.total.empty() ? shown : groupFields.value(section.total, shown);
}

std::string title(const Json& groupFields, const Section& section, std::size_t shown) {
  std::string text = section.name + ":";
  const std::uint64_t total = totalOf(groupFields, section, shown);
  text += total > shown ? fmt::format(" {} of {}", shown, total) : fmt::format(" {}", total);
  for (const std::string& field : section.summaryFields) {
    text += fmt::format(" {}={}", field, groupFields.value(field, std::uint64_t{0}));
  }
  return text + "\n";
}

}  // namespace

const std::vector<std::string>& workSections() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const Section& section : sections()) {
      names.push_back(section.name);
    }
    return names;
  }();
  return kNames;
}

bool isWorkSection(const std::string& name) {
  return std::find(workSections().begin(), workSections().end(), name) != workSections().end();
}

bool hasWorkSection(const Json& response, const std::string& section) {
  return !groupResponse(response, findSection(section)).is_null();
}

Json workSection(const Json& response, const std::string& name) {
  const Section& section = findSection(name);
  const Json groupFields = groupResponse(response, section);
  if (groupFields.is_null()) {
    return nullptr;
  }
  const Json rows = groupFields.value(name, Json::array());
  Json shown = {{"rows", rows}, {"total", totalOf(groupFields, section, rows.size())}};
  for (const std::string& field : section.summaryFields) {
    shown[field] = groupFields.value(field, std::uint64_t{0});
  }
  return shown;
}

std::string workTable(const Json& response, const std::string& name) {
  const Section& section = findSection(name);
  const Json groupFields = groupResponse(response, section);
  if (groupFields.is_null()) {
    return fmt::format("{}: unknown, no leader of the {} answered\n", name, section.group);
  }
  const Json rows = groupFields.value(name, Json::array());
  const std::string heading = title(groupFields, section, rows.size());
  return rows.empty() ? heading : heading + formatTable(makeCells(rows, section));
}

}  // namespace tackpick::ctl
