#include "runtime/metrics.h"

#include "runtime/daemon.h"

namespace tackpick::runtime {
namespace {

/// Writes metrics in the Prometheus text format.
class MetricsWriter {
 public:
  void counter(const std::string& name, const std::string& help, double value) {
    write(name, help, "counter", value);
  }
  void gauge(const std::string& name, const std::string& help, double value) {
    write(name, help, "gauge", value);
  }
  [[nodiscard]] const std::string& render() const { return m_text; }

 private:
  void write(const std::string& name, const std::string& help, const std::string& type,
             double value) {
    m_text += "# HELP tackpick_" + name + " " + help + "\n# TYPE tackpick_" + name + " " + type +
              "\ntackpick_" + name + " " + std::to_string(value) + "\n";
  }

  std::string m_text;
};

void writeGatewayMetrics(const gateway::Gateway& gateway, base::TimePoint now,
                         MetricsWriter& writer) {
  const gateway::GatewayCounters& counters = gateway.counters();
  const auto writeCounter = [&](const std::string& name, const std::string& help,
                                std::uint64_t value) {
    writer.counter(name, help, static_cast<double>(value));
  };
  writeCounter("requests_received_total", "callers' requests", counters.requestsReceived);
  writeCounter("requests_answered_total", "whole answers", counters.requestsCompleted);
  writeCounter("requests_refused_not_run_total", "requests refused and not run",
               counters.requestsRefusedNotRun);
  writeCounter("requests_unclear_total", "requests that ended and may have run",
               counters.requestsIndeterminate);
  writeCounter("attempts_started_total", "dispatches to engines", counters.attemptsStarted);
  writeCounter("attempts_retried_total", "dispatches after a failure", counters.attemptsRetried);
  writeCounter("attempts_hedged_total", "second dispatches of slow samples",
               counters.attemptsHedged);
  writeCounter("attempts_stalled_total", "attempts given up for silence", counters.attemptsStalled);
  writeCounter("tokens_received_total", "tokens from engines", counters.tokensReceived);
  writeCounter("tokens_wasted_total", "tokens received and not used", counters.tokensDiscarded);
  writeCounter("samples_leased_total", "samples leased from ledgers", counters.samplesLeased);
  writeCounter("samples_committed_total", "samples committed first", counters.samplesCommitted);
  writeCounter("samples_too_old_total", "samples refused by the staleness bound",
               counters.samplesStale);
  writer.gauge("jobs", "requests and samples in this gateway",
               static_cast<double>(gateway.taskCount()));
  writer.gauge("jobs_queued", "jobs waiting for an engine",
               static_cast<double>(gateway.queuedCount()));
  writer.gauge("configuration_revision", "revision in force",
               static_cast<double>(gateway.view().revision().value));
  writer.gauge("serving_lease", "1 while this gateway may serve",
               gateway.view().canServe(now) ? 1.0 : 0.0);
}

void writeServerMetrics(const http::ServerLoad& load, MetricsWriter& writer) {
  writer.gauge("request_bytes", "memory of requests that are handled and of long bodies",
               static_cast<double>(load.requestBytes));
  writer.gauge("unfinished_request_bytes",
               "memory of heads and short bodies that are not complete yet",
               static_cast<double>(load.unfinishedBytes));
  writer.gauge("client_connections", "open connections of clients",
               static_cast<double>(load.connections));
  for (std::size_t i = 0; i < load.shed.size(); ++i) {
    const std::string reason(toString(static_cast<http::ShedReason>(i)));
    writer.counter("clients_shed_" + reason + "_total",
                   "requests rejected and connections closed to stay within the limits",
                   static_cast<double>(load.shed[i]));
  }
}

}  // namespace

std::string renderMetrics(Daemon& daemon) {
  MetricsWriter writer;
  writeServerMetrics(daemon.serverLoad(), writer);
  if (const gateway::Gateway* gateway = daemon.gateway()) {
    writeGatewayMetrics(*gateway, daemon.now(), writer);
  }
  if (const control::Controller* controller = daemon.controller()) {
    const consensus::RaftConsensus& raft = controller->replica().raft();
    writer.gauge("control_leader", "1 while this controller leads", raft.isLeader() ? 1.0 : 0.0);
    writer.gauge("control_term", "Raft term", static_cast<double>(raft.currentTerm()));
    writer.gauge("control_commit_index", "committed log index",
                 static_cast<double>(raft.commitIndex()));
    writer.gauge("control_serving_leases", "gateways that may serve",
                 static_cast<double>(controller->leases().size(daemon.now())));
  }
  for (const auto& ledger : daemon.ledgers()) {
    const std::string group = "ledger_" + std::to_string(ledger->replica().group().value);
    writer.gauge(group + "_leader", "1 while this ledger leads",
                 ledger->replica().raft().isLeader() ? 1.0 : 0.0);
    writer.gauge(group + "_batches", "batches not yet delivered",
                 static_cast<double>(ledger->state().batchCount()));
    writer.gauge(group + "_claims", "claims remembered",
                 static_cast<double>(ledger->state().claimCount()));
  }
  writer.counter("internal_bytes_sent_total", "bytes to our other processes",
                 static_cast<double>(daemon.network().bytesSent()));
  writer.counter("internal_bytes_received_total", "bytes from our other processes",
                 static_cast<double>(daemon.network().bytesReceived()));
  writer.counter("internal_connections_refused_total", "wrong key, version or frame",
                 static_cast<double>(daemon.network().rejectedConnections()));
  return writer.render();
}

}  // namespace tackpick::runtime
