#include "directory/request_label.h"

namespace tackpick::directory {
namespace {

RequestLabel labelOfTyped(const ReplaceConfiguration& request) {
  return {"replace_configuration", std::to_string(request.configuration.version), true};
}
RequestLabel labelOfTyped(const ReadConfiguration& /*request*/) {
  return {"read_configuration", {}, false};
}
RequestLabel labelOfTyped(const InstanceHeartbeat& request) {
  return {request.record.draining ? "drain" : "heartbeat", request.record.id, false};
}
RequestLabel labelOfTyped(const DeregisterInstance& request) {
  return {"leave", request.id, false};
}
RequestLabel labelOfTyped(const PublishVersion& request) {
  return {"publish_version", request.model + ":" + std::to_string(request.version), true};
}
RequestLabel labelOfTyped(const Watch& /*request*/) { return {"watch", {}, false}; }
RequestLabel labelOfTyped(const RetireNode& request) { return {"retire", request.name, true}; }
RequestLabel labelOfTyped(const ReadRetirement& request) {
  return {"read_retirement", request.name, false};
}

RequestLabel labelOfTyped(const ReportUsage& /*request*/) { return {"tell_usage", {}, false}; }

RequestLabel labelOfTyped(const ReportOpenJobs& /*request*/) {
  return {"tell_open_work", {}, false};
}

RequestLabel labelOfTyped(const RelayHeartbeats& /*request*/) {
  return {"relay_heartbeats", {}, false};
}

RequestLabel labelOfTyped(const duties::ReadCapacity& /*request*/) {
  return {"read_capacity", {}, false};
}

RequestLabel labelOfTyped(const ReadWeights& /*request*/) { return {"read_weights", {}, false}; }

RequestLabel labelOfTyped(const quarantine::ReportCrashes& /*request*/) {
  return {"report_crashes", {}, false};
}
RequestLabel labelOfTyped(const quarantine::RequestTrial& request) {
  return {"ask_trial", request.request.text(), false};
}
RequestLabel labelOfTyped(const quarantine::ReadQuarantine& /*request*/) {
  return {"read_quarantine", {}, false};
}
RequestLabel labelOfTyped(const quarantine::ReleaseRequest& request) {
  return {"release_request", request.request.text(), true};
}

}  // namespace

RequestLabel labelOf(const DirectoryRequest& request) {
  return std::visit([](const auto& typed) { return labelOfTyped(typed); }, request);
}

}  // namespace tackpick::directory
