#include "simulation/caller_actor.h"

#include <algorithm>
#include <utility>

#include "engine/content.h"

namespace tackpick::simulation {

void CallerActor::start() {
  const std::shared_ptr<const WorkloadTrace>& trace = environment_.options.load.trace;
  if (!trace) {
    scheduleNext();
    return;
  }
  for (const TraceRequest& traceRequest : trace->requests) {
    environment_.loop.scheduleAfter(traceRequest.at, [this, traceRequest] {
      send(makeRequest(traceRequest.tokens, traceRequest.notRepeatable));
    });
  }
}

void CallerActor::scheduleNext() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double mean = kMicrosecondsPerSecond / environment_.options.load.requestsPerSecond;
  const base::Duration gap(static_cast<base::Duration::rep>(environment_.random.exponential(mean)) +
                           1);
  environment_.loop.scheduleAfter(gap, [this] {
    if (!stopped_) {
      send(makeRandomRequest());
      scheduleNext();
    }
  });
}

CallerActor::PlannedRequest CallerActor::makeRandomRequest() {
  const LoadOptions& load = environment_.options.load;
  base::Random& random = environment_.random;
  constexpr double kMinResponseTokens = 4.0;
  constexpr double kTailIndex = 1.1;
  const double tokens =
      std::min(random.pareto(kMinResponseTokens, kTailIndex), load.maxResponseTokens);
  return makeRequest(static_cast<std::uint32_t>(tokens), random.chance(load.notRepeatableFraction));
}

CallerActor::PlannedRequest CallerActor::makeRequest(std::uint32_t tokens, bool notRepeatable) {
  const LoadOptions& load = environment_.options.load;
  base::Random& random = environment_.random;
  constexpr std::uint64_t kPrefixes = 5;
  PlannedRequest planned;
  planned.sent.prompt =
      engine::lengthDirective(tokens) +
      std::string(engine::kCacheBlockBytes, static_cast<char>('a' + random.below(kPrefixes))) +
      " request " + std::to_string(++m_lastRequestNumber);
  planned.sent.seed = m_lastRequestNumber;
  planned.sent.notRepeatable = notRepeatable;
  planned.request.tenant = {"t"};
  planned.request.workload = {"t/ask"};
  planned.request.prompt = planned.sent.prompt;
  planned.request.seed = planned.sent.seed;
  planned.request.deadline = load.deadline;
  planned.request.stream = random.chance(load.streamFraction);
  planned.request.notRepeatable = planned.sent.notRepeatable;
  planned.request.key = {"key-" + std::to_string(m_lastRequestNumber)};
  // Requests exactly the accepted token limit, which a gateway with older settings would reject.
  planned.sent.maximumTokens = static_cast<std::uint32_t>(environment_.checker.acceptedCounter());
  planned.request.maximumTokens = planned.sent.maximumTokens;
  const bool resend = planned.sent.notRepeatable && random.chance(load.resendFraction);
  planned.resendsLeft = resend ? 2 : 0;
  if (resend && random.chance(0.5)) {
    // Simulates a client timeout: resends the request while the first attempt may still run.
    PlannedRequest again = planned;
    again.resendsLeft = 0;
    environment_.loop.scheduleAfter(
        environment_.randomDuration(base::Duration{0}, base::milliseconds(80)),
        [this, again] { send(again); });
  }
  return planned;
}

void CallerActor::send(const PlannedRequest& planned) {
  const std::uint32_t gateways = environment_.options.gateways;
  const auto chosen = static_cast<std::uint32_t>(environment_.random.below(gateways));
  SimulatedNode* gateway = environment_.node(1 + environment_.options.controllers +
                                             environment_.options.ledgers + chosen);
  ++outstanding_;
  environment_.checker.onRequestSent(planned.sent);
  gateway->request(planned.request,
                   [this, planned](const RequestOutcome& outcome) { onOutcome(planned, outcome); });
}

void CallerActor::onOutcome(const PlannedRequest& planned, const RequestOutcome& outcome) {
  --outstanding_;
  InvariantChecker& checker = environment_.checker;
  if (outcome.response) {
    checker.onResponse(planned.sent, *outcome.response);
    return;
  }
  if (outcome.rejection) {
    const bool invalid = outcome.rejection->reason == gateway::RejectionReason::kInvalid;
    checker.onRejection(planned.sent, outcome.rejection->verdict, invalid,
                        outcome.rejection->message);
  } else {
    checker.onConnectionLost(planned.sent, outcome.byGracefulShutdown);
  }
  if (planned.resendsLeft > 0 && !stopped_) {
    PlannedRequest again = planned;
    --again.resendsLeft;
    environment_.loop.scheduleAfter(
        environment_.randomDuration(base::Duration{0}, base::milliseconds(500)),
        [this, again] { send(again); });
  }
}

}  // namespace tackpick::simulation
