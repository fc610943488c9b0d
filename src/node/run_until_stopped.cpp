#include "node/run_until_stopped.h"

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

constexpr auto kReopenDelay = std::chrono::milliseconds(500);

/// Runs a node once. Returns its exit code, or std::nullopt if its disk failed.
base::Result<std::optional<int>> runOnce(const config::ClusterSettings& settings,
                                         const edge::ApiAdapter& apiAdapter) {
  BOOST_LEAF_AUTO(node, Node::create(settings, apiAdapter));
  const int code = node->run();
  return node->diskFailed() ? std::optional<int>() : std::optional<int>(code);
}

}  // namespace

base::Result<int> runUntilStopped(const config::ClusterSettings& settings,
                                  const edge::ApiAdapter& apiAdapter) {
  while (true) {
    std::optional<base::Error> openError;
    const std::optional<int> code =
        base::recover([&] { return runOnce(settings, apiAdapter); },
                      [&](const base::Error& error) -> std::optional<int> {
                        openError = error;
                        return std::nullopt;
                      });
    // No signal handler is installed until the next run; SIGHUP must not terminate the process
    // meanwhile.
    std::signal(SIGHUP, SIG_IGN);
    if (code) {
      return *code;
    }
    if (openError && openError->code != base::ErrorCode::kStorage) {
      return base::fail(openError->code, openError->message);
    }
    telemetry::logEvent(telemetry::EventId::kDiskUnavailable,
                        telemetry::EventFields()
                            .add("error", openError ? openError->message : "a write failed")
                            .text());
    telemetry::flushLog();
    std::this_thread::sleep_for(kReopenDelay);
  }
}

}  // namespace tackpick::node
