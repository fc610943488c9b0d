/// The catalogues of events and figures, and lines on their way to a slow reader.
#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "telemetry/event.h"
#include "telemetry/line_buffer.h"
#include "telemetry/metric.h"

namespace telemetry = tackpick::telemetry;

namespace {

/// Takes as many bytes as the test lets it.
class SlowReader final : public telemetry::ByteSink {
 public:
  std::size_t write(std::string_view bytes) override {
    const std::size_t taken = std::min(bytes.size(), room);
    room -= taken;
    text += bytes.substr(0, taken);
    return taken;
  }
  std::size_t room = 0;
  std::string text;
};

std::string page(const std::string& name) {
  const char* root = std::getenv("TACKPICK_ROOT");
  std::ifstream file(std::string(root == nullptr ? "." : root) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Test(line_buffer, stalled_reader_loses_lines_and_is_told_how_many) {
  SlowReader reader;
  telemetry::LineBuffer buffer(reader, 40);
  for (const std::string line : {"first", "second", "a line that no longer fits in", "x"}) {
    buffer.add(line);
    buffer.flush();
  }
  cr_assert_eq(buffer.droppedLines(), 2U, "the notice of a lost line has no room either");
  cr_assert(reader.text.empty());
  reader.room = 8;
  buffer.flush();
  cr_assert_eq(reader.text, "first\nse", "a line may be cut until the reader goes on");
  reader.room = 1000;
  buffer.flush();
  buffer.add("x");
  buffer.flush();
  cr_assert_eq(reader.text, "first\nsecond\nlog_lines_dropped count=2\nx\n");
  cr_assert_eq(buffer.writtenBytes(), reader.text.size());
}

Test(event_catalogue, is_the_page_and_numbers_are_used_once) {
  std::set<telemetry::EventId> ids;
  std::set<std::string_view> names;
  for (const auto& event : telemetry::eventCatalogue()) {
    cr_assert(ids.insert(event.id).second);
    cr_assert(names.insert(event.name).second);
  }
  cr_assert(page("EVENTS.md").find(telemetry::catalogueAsMarkdown()) != std::string::npos,
            "print docs/EVENTS.md anew with tackpickd --events");
}

Test(metric_catalogue, is_the_page_and_names_are_used_once) {
  std::set<std::string_view> names;
  for (const auto& metric : telemetry::metricCatalogue()) {
    cr_assert(names.insert(metric.name).second);
    cr_assert_not(metric.help.empty());
  }
  cr_assert(page("METRICS.md").find(telemetry::metricsAsMarkdown()) != std::string::npos,
            "print docs/METRICS.md anew with tackpickd --metrics");
}
