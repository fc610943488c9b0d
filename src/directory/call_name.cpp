#include "directory/call_name.h"

namespace tackpick::directory {
namespace {

CallName nameOfTyped(const ReplaceConfiguration& request) {
  return {"replace_configuration", std::to_string(request.configuration.version), true};
}
CallName nameOfTyped(const ReadConfiguration& /*request*/) {
  return {"read_configuration", {}, false};
}
CallName nameOfTyped(const InstanceHeartbeat& request) {
  return {request.record.draining ? "drain" : "heartbeat", request.record.id, false};
}
CallName nameOfTyped(const DeregisterInstance& request) { return {"leave", request.id, false}; }
CallName nameOfTyped(const PublishVersion& request) {
  return {"publish_version", request.model + ":" + std::to_string(request.version), true};
}
CallName nameOfTyped(const Watch& /*request*/) { return {"watch", {}, false}; }
CallName nameOfTyped(const RetireNode& request) { return {"retire", request.name, true}; }
CallName nameOfTyped(const ReadRetirement& request) {
  return {"read_retirement", request.name, false};
}

CallName nameOfTyped(const ReportUsage& /*request*/) { return {"tell_usage", {}, false}; }

CallName nameOfTyped(const ReportOpenJobs& /*request*/) { return {"tell_open_work", {}, false}; }

CallName nameOfTyped(const RelayHeartbeats& /*request*/) { return {"relay_heartbeats", {}, false}; }

CallName nameOfTyped(const duties::ReadCapacity& /*request*/) {
  return {"read_capacity", {}, false};
}

CallName nameOfTyped(const ReadWeights& /*request*/) { return {"read_weights", {}, false}; }

CallName nameOfTyped(const quarantine::ReportCrashes& /*request*/) {
  return {"report_crashes", {}, false};
}
CallName nameOfTyped(const quarantine::RequestTrial& request) {
  return {"ask_trial", request.request.text(), false};
}
CallName nameOfTyped(const quarantine::ReadQuarantine& /*request*/) {
  return {"read_quarantine", {}, false};
}
CallName nameOfTyped(const quarantine::ReleaseRequest& request) {
  return {"release_request", request.request.text(), true};
}

}  // namespace

CallName nameOf(const DirectoryRequest& request) {
  return std::visit([](const auto& typed) { return nameOfTyped(typed); }, request);
}

}  // namespace tackpick::directory
