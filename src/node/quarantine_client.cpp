#include "node/quarantine_client.h"

#include <utility>

#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using telemetry::EventFields;
using telemetry::EventId;
using telemetry::logEvent;

/// Timeout of a report, after which the call is repeated.
constexpr base::Duration kReportTimeout = base::milliseconds(2000);
/// Timeout of a trial request. The caller's request waits for the reply and stays held if there is
/// none.
constexpr base::Duration kTrialTimeout = base::milliseconds(500);

}  // namespace

void QuarantineClient::onView(const directory::DirectoryView& view) {
  logHolds(m_gate.onHeldRequests(view.heldRequests, view.clusterTime, m_node.now()));
  const std::uint64_t term = view.revision >> directory::kRevisionTermShift;
  if (term != m_reportedTerm) {
    // A new leader has no record of earlier crashes.
    m_reportedTerm = term;
    m_gate.detector().resetReported();
  }
  m_node.metrics().set(telemetry::GaugeId::kHeldRequests,
                       static_cast<double>(view.heldRequests.size()));
}

void QuarantineClient::logHolds(const quarantine::HoldChanges& changes) const {
  for (const quarantine::RequestFingerprint& request : changes.held) {
    logEvent(EventId::kRequestHeld, EventFields().add("fingerprint", request.text()).text());
  }
  for (const quarantine::RequestFingerprint& request : changes.released) {
    logEvent(EventId::kRequestReleased, EventFields().add("fingerprint", request.text()).text());
  }
}

void QuarantineClient::tick() {
  if (!m_reporting && !m_gate.detector().empty()) {
    reportCrashes();
  }
}

void QuarantineClient::reportCrashes() {
  quarantine::ReportCrashes report{m_gate.detector().takeConfirmed(m_node.now())};
  if (report.crashes.empty()) {
    return;
  }
  m_reporting = true;
  m_node.clusterMember().call(directory::DirectoryRequest{std::move(report)}, kReportTimeout,
                              m_node.now(), [this](const directory::DirectoryReply* reply) {
                                m_reporting = false;
                                if (reply == nullptr) {
                                  m_gate.detector().resetReported();
                                }
                              });
  m_node.scheduleIteration();
}

quarantine::RequestFingerprint QuarantineClient::fingerprint(
    const quarantine::RequestIdentity& request) const {
  return quarantine::fingerprintOf(request, m_node.settings().cluster);
}

quarantine::Admission QuarantineClient::admit(const quarantine::RequestFingerprint& request) const {
  return m_gate.admit(request, m_node.now(), m_node.wallClock().wallNow());
}

bool QuarantineClient::isSuspect(const quarantine::RequestFingerprint& request) const {
  return m_gate.detector().crashCount(request) > 0 ||
         admit(request) != quarantine::Admission::kFree;
}

base::Duration QuarantineClient::untilTrial(const quarantine::RequestFingerprint& request) const {
  return m_gate.untilTrial(request, m_node.now(), m_node.wallClock().wallNow());
}

void QuarantineClient::requestTrial(const quarantine::RequestFingerprint& request,
                                    std::function<void(bool granted)> callback) {
  m_node.clusterMember().call(
      directory::DirectoryRequest{quarantine::RequestTrial{request}}, kTrialTimeout, m_node.now(),
      [request, callback = std::move(callback)](const directory::DirectoryReply* reply) {
        const bool granted = reply != nullptr && reply->status == directory::DirectoryStatus::kDone;
        if (granted) {
          logEvent(EventId::kTrialBegun, EventFields().add("fingerprint", request.text()).text());
        }
        callback(granted);
      });
  m_node.scheduleIteration();
}

void QuarantineClient::onConnectionLost(const quarantine::Crash& crash, const std::string& id,
                                        base::TimePoint sentAt) {
  const base::TimePoint now = m_node.now();
  m_gate.detector().onConnectionLost(crash, now);
  const std::size_t crashes = m_gate.detector().crashCount(crash.request);
  logEvent(EventId::kRunBroken, EventFields()
                                    .add("request", id)
                                    .add("fingerprint", crash.request.text())
                                    .add("service", crash.service)
                                    .add("instance", crash.instance)
                                    .add("crashes", std::uint64_t{crashes})
                                    .add("after_ms", now - sentAt)
                                    .text());
}

void QuarantineClient::onAnswered(const std::string& instance, base::TimePoint sentAt) {
  if (!m_gate.detector().empty()) {
    m_gate.detector().onAnswered(instance, sentAt, m_node.now());
  }
}

void QuarantineClient::onCompleted(const quarantine::RequestFingerprint& request) {
  if (!isSuspect(request)) {
    return;
  }
  m_gate.detector().remove(request);
  m_node.clusterMember().call(directory::DirectoryRequest{quarantine::ReleaseRequest{request}},
                              kReportTimeout, m_node.now(),
                              [](const directory::DirectoryReply*) {});
  m_node.scheduleIteration();
}

}  // namespace tackpick::node
