/// \file
/// Node: calls of the leading controller to engines and to the platform.
#include <memory>
#include <string>
#include <utility>

#include "node/leader_calls.h"
#include "node/node.h"
#include "node/platform_client.h"
#include "telemetry/log.h"

namespace tackpick::node {

namespace {

/// Timeout of a query of an engine's weights versions. Queries are repeated more often.
constexpr base::Duration kVersionsTimeout = base::seconds(1);
/// Maximum size of the response, which lists the models and adapters of one engine.
constexpr std::size_t kMaxVersionsBytes = 256U << 10U;

}  // namespace

using telemetry::CounterId;
using telemetry::EventFields;
using telemetry::EventId;
using telemetry::logEvent;

void Node::sendLoadCommand(const directory::LoadCommand& command) {
  logEvent(EventId::kEngineOrdered, EventFields()
                                        .add("instance", command.instance)
                                        .add("model", command.model)
                                        .add("version", command.version)
                                        .add("fence", command.fence)
                                        .text());
  m_leaderCalls->start(
      m_apiAdapter.loadRequest(command, settings_.name), command.fence,
      [this, command](const LeaderCallResult& result) { onLoadCommandResult(command, result); });
}

void Node::onLoadCommandResult(const directory::LoadCommand& command,
                               const LeaderCallResult& result) {
  const directory::LoadCommandOutcome outcome = result.complete
                                                    ? m_apiAdapter.loadCommandOutcome(result.status)
                                                    : directory::LoadCommandOutcome::kUnknown;
  metrics_.count(CounterId::kOrdersGiven, directory::toString(outcome));
  const bool failed = outcome == directory::LoadCommandOutcome::kRefused ||
                      outcome == directory::LoadCommandOutcome::kUnknown;
  EventFields fields;
  fields.add("instance", command.instance)
      .add("outcome", directory::toString(outcome))
      .add("status", static_cast<std::uint64_t>(result.status))
      .add("fence", command.fence);
  if (result.sentAfter) {
    fields.add("sent_after_ms", *result.sentAfter);
  }
  fields.add("after_ms", result.age).add("error", result.error);
  logEvent(failed ? EventId::kEngineOrderFailed : EventId::kEngineOrderAnswered, fields.text());
  directory_->onLoadCommandOutcome(command, outcome, now());
  scheduleIteration();
}

void Node::sendUsageReport(const duties::UsageReport& report) {
  m_platformClient->send(report, [this, report](duties::UsageReportOutcome outcome) {
    directory_->onUsageOutcome(report, outcome, now());
    scheduleIteration();
  });
}

void Node::sendScaleCall(const duties::ScaleCall& call) {
  m_platformClient->send(call, [this, call](duties::ScaleOutcome outcome) {
    directory_->onScaleOutcome(call, outcome, now());
    scheduleIteration();
  });
}

void Node::queryVersions(const directory::InstanceRecord& engine) {
  const auto body = std::make_shared<std::string>();
  http::UpstreamEvents events;
  events.onData = [body](std::string_view data) { body->append(data); };
  events.onEnd = [this, body, id = engine.id](const http::UpstreamResult& end) {
    const auto versions = end.complete ? m_apiAdapter.reportedVersions(*body) : std::nullopt;
    if (versions) {
      directory_->onVersionsPolled(id, *versions, now());
      scheduleIteration();
    }
  };
  http::UpstreamRequest request = m_apiAdapter.versionsRequest(engine);
  request.timeout = kVersionsTimeout;
  request.maxBodyBytes = kMaxVersionsBytes;
  upstream_->start(std::move(request), std::move(events));
}

}  // namespace tackpick::node
