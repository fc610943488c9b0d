#include "node/request_guard.h"

#include <utility>

#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using telemetry::EventFields;
using telemetry::EventId;
using telemetry::logEvent;

/// A call that has found no leader by then is made anew.
constexpr base::Duration kTellDeadline = base::milliseconds(2000);
/// The request waits for this answer. A commit takes milliseconds; without a leader it is held on.
constexpr base::Duration kTrialDeadline = base::milliseconds(500);

}  // namespace

void RequestGuard::onView(const directory::DirectoryView& view) {
  logHolds(m_gate.onTold(view.heldRequests, view.clusterTime, m_node.now()));
  const std::uint64_t term = view.revision >> directory::kRevisionTermShift;
  if (term != m_toldTerm) {
    // A new leader has not heard of any crash.
    m_toldTerm = term;
    m_gate.observer().tellAgain();
  }
  m_node.metrics().set(telemetry::GaugeId::kHeldRequests,
                       static_cast<double>(view.heldRequests.size()));
}

void RequestGuard::logHolds(const quarantine::HoldChanges& changes) const {
  for (const quarantine::RequestFingerprint& request : changes.held) {
    logEvent(EventId::kRequestHeld, EventFields().add("fingerprint", request.text()).text());
  }
  for (const quarantine::RequestFingerprint& request : changes.released) {
    logEvent(EventId::kRequestReleased, EventFields().add("fingerprint", request.text()).text());
  }
}

void RequestGuard::tick() {
  if (!m_telling && !m_gate.observer().empty()) {
    tell();
  }
}

void RequestGuard::tell() {
  quarantine::ReportCrashes report{m_gate.observer().takeCertain(m_node.now())};
  if (report.crashes.empty()) {
    return;
  }
  m_telling = true;
  m_node.member().call(directory::DirectoryRequest{std::move(report)}, kTellDeadline, m_node.now(),
                       [this](const directory::DirectoryReply* reply) {
                         m_telling = false;
                         if (reply == nullptr) {
                           m_gate.observer().tellAgain();
                         }
                       });
  m_node.wake();
}

quarantine::RequestFingerprint RequestGuard::fingerprint(
    const quarantine::RequestIdentity& request) const {
  return quarantine::fingerprintOf(request, m_node.settings().cluster);
}

quarantine::Admission RequestGuard::admit(const quarantine::RequestFingerprint& request) const {
  return m_gate.admit(request, m_node.now(), m_node.wallClock().wallNow());
}

bool RequestGuard::isSuspect(const quarantine::RequestFingerprint& request) const {
  return m_gate.observer().crashes(request) > 0 || admit(request) != quarantine::Admission::kFree;
}

base::Duration RequestGuard::untilTrial(const quarantine::RequestFingerprint& request) const {
  return m_gate.untilTrial(request, m_node.now(), m_node.wallClock().wallNow());
}

void RequestGuard::askTrial(const quarantine::RequestFingerprint& request,
                            std::function<void(bool granted)> callback) {
  m_node.member().call(
      directory::DirectoryRequest{quarantine::RequestTrial{request}}, kTrialDeadline, m_node.now(),
      [request, callback = std::move(callback)](const directory::DirectoryReply* reply) {
        const bool granted = reply != nullptr && reply->status == directory::DirectoryStatus::kDone;
        if (granted) {
          logEvent(EventId::kTrialBegun, EventFields().add("fingerprint", request.text()).text());
        }
        callback(granted);
      });
  m_node.wake();
}

RequestGuard::RunAdmission RequestGuard::admitRun(const quarantine::RequestFingerprint& request) {
  const auto trial = m_trials.find(request);
  if (trial != m_trials.end() && trial->second) {
    m_trials.erase(trial);
    return RunAdmission::kTrial;
  }
  const quarantine::Admission admission = admit(request);
  if (admission == quarantine::Admission::kFree) {
    return RunAdmission::kRun;
  }
  if (admission == quarantine::Admission::kTrialDue && trial == m_trials.end()) {
    m_trials[request] = false;
    askTrial(request, [this, request](bool granted) {
      m_trials.erase(request);
      if (granted) {
        m_trials[request] = true;
      }
    });
  }
  return RunAdmission::kWait;
}

void RequestGuard::onBroken(const quarantine::Crash& crash, const std::string& id,
                            base::TimePoint sentAt) {
  const base::TimePoint now = m_node.now();
  m_gate.observer().onBroken(crash, now);
  const std::size_t crashes = m_gate.observer().crashes(crash.request);
  logEvent(EventId::kRunBroken, EventFields()
                                    .add("request", id)
                                    .add("fingerprint", crash.request.text())
                                    .add("service", crash.service)
                                    .add("instance", crash.instance)
                                    .add("crashes", std::uint64_t{crashes})
                                    .add("after_ms", now - sentAt)
                                    .text());
}

void RequestGuard::onAnswered(const std::string& instance, base::TimePoint sentAt) {
  if (!m_gate.observer().empty()) {
    m_gate.observer().onAnswered(instance, sentAt, m_node.now());
  }
}

void RequestGuard::onBorne(const quarantine::RequestFingerprint& request) {
  if (!isSuspect(request)) {
    return;
  }
  m_gate.observer().forget(request);
  m_node.member().call(directory::DirectoryRequest{quarantine::ReleaseRequest{request}},
                       kTellDeadline, m_node.now(), [](const directory::DirectoryReply*) {});
  m_node.wake();
}

}  // namespace tackpick::node
