#include "telemetry/log.h"

#include <glog/logging.h>

namespace tackpick::telemetry {

void initialiseLogging(const std::string& program) {
  static const std::string kProgram = program;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(kProgram.c_str());
}

void logEvent(EventId id, const std::string& detail) {
  const EventDescription& description = describe(id);
  const std::string line = "E" + std::to_string(static_cast<unsigned>(id)) + " " +
                           std::string(description.name) + (detail.empty() ? "" : " ") + detail;
  switch (description.severity) {
    case Severity::kInfo:
      LOG(INFO) << line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line;
      break;
    case Severity::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace tackpick::telemetry
