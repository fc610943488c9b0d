/// Tests of the event and metric catalogues and of the log line buffer.
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

/// Accepts as many bytes as the test allows.
class ThrottledSink final : public telemetry::ByteSink {
 public:
  std::size_t write(std::string_view bytes) override {
    const std::size_t written = std::min(bytes.size(), capacity);
    capacity -= written;
    text += bytes.substr(0, written);
    return written;
  }
  std::size_t capacity = 0;
  std::string text;
};

std::string readDocsPage(const std::string& name) {
  const char* root = std::getenv("TACKPICK_ROOT");
  std::ifstream file(std::string(root == nullptr ? "." : root) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Test(line_buffer, stalled_reader_loses_lines_and_receives_their_number) {
  ThrottledSink reader;
  telemetry::LineBuffer buffer(reader, 40);
  for (const std::string line : {"first", "second", "a line that no longer fits in", "x"}) {
    buffer.add(line);
    buffer.flush();
  }
  cr_assert_eq(buffer.droppedLines(), 2U, "the notice of dropped lines does not fit either");
  cr_assert(reader.text.empty());
  reader.capacity = 8;
  buffer.flush();
  cr_assert_eq(reader.text, "first\nse", "a line may be written in parts");
  reader.capacity = 1000;
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
  cr_assert(readDocsPage("EVENTS.md").find(telemetry::catalogueAsMarkdown()) != std::string::npos,
            "regenerate docs/EVENTS.md with tackpickd --events");
}

Test(metric_catalogue, is_the_page_and_names_are_used_once) {
  std::set<std::string_view> names;
  for (const auto& metric : telemetry::metricCatalogue()) {
    cr_assert(names.insert(metric.name).second);
    cr_assert_not(metric.help.empty());
  }
  cr_assert(readDocsPage("METRICS.md").find(telemetry::metricsAsMarkdown()) != std::string::npos,
            "regenerate docs/METRICS.md with tackpickd --metrics");
}
