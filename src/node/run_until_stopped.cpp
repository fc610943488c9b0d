#include "node/run_until_stopped.h"

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

constexpr auto kReopenInterval = std::chrono::milliseconds(500);

/// One life of the node: its exit code, or nothing when its disk failed.
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
    std::optional<base::Error> refusal;
    const std::optional<int> code =
        base::recover([&] { return runOnce(settings, apiAdapter); },
                      [&](const base::Error& error) -> std::optional<int> {
                        refusal = error;
                        return std::nullopt;
                      });
    // Nobody listens for signals until the next life: word of changed settings must not end it.
    std::signal(SIGHUP, SIG_IGN);
    if (code) {
      return *code;
    }
    if (refusal && refusal->code != base::ErrorCode::kStorage) {
      return base::fail(refusal->code, refusal->message);
    }
    telemetry::logEvent(telemetry::EventId::kDiskUnavailable,
                        telemetry::EventFields()
                            .add("error", refusal ? refusal->message : "a write failed")
                            .text());
    telemetry::flushLog();
    std::this_thread::sleep_for(kReopenInterval);
  }
}

}  // namespace tackpick::node
