#include "simulation/workload_trace.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace tackpick::simulation {
namespace {

using Json = nlohmann::json;

void parseLine(const Json& line, WorkloadTrace& trace) {
  const std::string kind = line.at("kind").get<std::string>();
  const auto at = [&] { return base::milliseconds(line.at("at_ms").get<std::int64_t>()); };
  if (kind == "expect") {
    trace.expectation.requests = line.at("requests").get<std::uint64_t>();
    trace.expectation.minAnswered = line.at("answered_at_least").get<std::uint64_t>();
    trace.expectation.samples = line.at("samples").get<std::uint64_t>();
  } else if (kind == "request") {
    trace.requests.push_back(
        {at(), line.at("tokens").get<std::uint32_t>(), line.at("not_repeatable").get<bool>()});
  } else if (kind == "batch") {
    trace.batches.push_back(line.at("lengths").get<std::vector<std::uint32_t>>());
  } else if (kind == "fault") {
    trace.faults.push_back({at(), line.at("name").get<std::string>()});
  } else {
    throw std::invalid_argument("unknown kind " + kind);
  }
}

}  // namespace

base::Result<WorkloadTrace> parseTrace(const std::string& text) {
  WorkloadTrace trace;
  std::istringstream lines(text);
  std::size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (line.empty()) {
      continue;
    }
    try {
      parseLine(Json::parse(line), trace);
    } catch (const std::exception& error) {
      return base::fail(base::ErrorCode::kInvalidInput,
                        "line " + std::to_string(number) + ": " + error.what());
    }
  }
  return trace;
}

}  // namespace tackpick::simulation
