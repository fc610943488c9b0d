/// Tests the tables and the JSON of `tackpickctl work`.
#include "work_table.h"

#include <criterion/criterion.h>

namespace ctl = tackpick::ctl;
using tackpick::runtime::Json;

namespace {

Json response() {
  const Json late = {{"job", "late"},     {"tenant", ""},  {"model", "m"},  {"minimum_version", 7},
                     {"places_ready", 0}, {"priority", 0}, {"waiting", 12}, {"running", 0},
                     {"slack_s", -1.5},   {"age_s", 4.25}};
  const Json gateway = {{"gateway", "127.0.3.1"}, {"zone", "a"},      {"places", 24}, {"held", 3},
                        {"active", true},         {"slow_s", nullptr}};
  const Json ledgers = {{"jobs", Json::array({late})}, {"total_jobs", 300},
                        {"tenants", Json::array()},    {"engines", Json::array()},
                        {"total_engines", 0},          {"gateways", Json::array({gateway})},
                        {"total_gateways", 1}};
  const Json model = {{"model", "m"},       {"published", 7},    {"needed", 7},
                      {"places_needed", 8}, {"places_ready", 0}, {"places_loading", 4},
                      {"expected_in_s", -2}};
  const Json controllers = {{"models", Json::array({model})}, {"loading", 1}, {"load_budget", 2}};
  return {{"ledgers", ledgers}, {"controllers", controllers}};
}

}  // namespace

Test(work_table, waiting_job_shows_slack_and_ready_slots) {
  cr_assert_eq(
      ctl::workTable(response(), "jobs"),
      "jobs: 1 of 300\n"
      "  job   tenant  model  minimum_version  places_ready  priority  waiting  running  slack_s  "
      "age_s\n"
      "  late  -       m      7                0             0         12       0        -1.50    "
      "4.25\n");
}

Test(work_table, models_show_load_budget) {
  cr_assert_eq(ctl::workTable(response(), "models"),
               "models: 1 loading=1 load_budget=2\n"
               "  model  published  needed  places_needed  places_ready  places_loading  "
               "expected_in_s\n"
               "  m      7          7       8              0             4               -2\n");
}

Test(work_table, unknown_value_is_shown_as_dash) {
  cr_assert_eq(ctl::workTable(response(), "gateways"),
               "gateways: 1\n"
               "  gateway    zone  places  held  active  slow_s\n"
               "  127.0.3.1  a     24      3     yes     -\n");
}

Test(work_table, unanswered_section_is_not_shown_as_empty) {
  Json partial = response();
  cr_assert_eq(ctl::workTable(partial, "engines"), "engines: 0\n");
  cr_assert(ctl::hasWorkSection(partial, "engines"));
  partial["ledgers"] = nullptr;
  cr_assert_eq(ctl::workTable(partial, "engines"),
               "engines: unknown, no leader of the ledgers answered\n");
  cr_assert_not(ctl::hasWorkSection(partial, "engines"));
  cr_assert(ctl::workSection(partial, "engines").is_null());
  cr_assert(ctl::hasWorkSection(partial, "models"), "the leader of the controllers answered");
  partial.erase("ledgers");
  cr_assert_not(ctl::hasWorkSection(partial, "jobs"));
}

Test(work_table, section_json_includes_total) {
  const Json jobs = ctl::workSection(response(), "jobs");
  cr_assert_eq(jobs["total"], 300);
  cr_assert_eq(jobs["rows"].size(), 1U);
  const Json models = ctl::workSection(response(), "models");
  cr_assert_eq(models["load_budget"], 2);
  cr_assert_eq(models["total"], 1);
}

Test(work_table, unknown_sections_are_rejected) {
  for (const std::string& section : ctl::workSections()) {
    cr_assert(ctl::isWorkSection(section));
  }
  cr_assert_eq(ctl::workSections().size(), 5U);
  cr_assert_not(ctl::isWorkSection("ledgers"));
}
