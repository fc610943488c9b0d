#include "simulation/caller_actor.h"

#include <algorithm>
#include <utility>

#include "engine/content.h"

namespace tackpick::simulation {

void CallerActor::start() {
  const std::shared_ptr<const Trace>& trace = environment_.options.load.trace;
  if (!trace) {
    scheduleNext();
    return;
  }
  for (const TracedRequest& traced : trace->requests) {
    environment_.loop.after(traced.at,
                            [this, traced] { send(planFor(traced.tokens, traced.notRepeatable)); });
  }
}

void CallerActor::scheduleNext() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double mean = kMicrosecondsPerSecond / environment_.options.load.requestsPerSecond;
  const base::Duration gap(static_cast<base::Duration::rep>(environment_.random.exponential(mean)) +
                           1);
  environment_.loop.after(gap, [this] {
    if (!stopped_) {
      send(makePlan());
      scheduleNext();
    }
  });
}

CallerActor::Plan CallerActor::makePlan() {
  const LoadOptions& load = environment_.options.load;
  base::Random& random = environment_.random;
  constexpr double kMinAnswer = 4.0;
  constexpr double kTailIndex = 1.1;
  const double tokens = std::min(random.pareto(kMinAnswer, kTailIndex), load.maxResponseTokens);
  return planFor(static_cast<std::uint32_t>(tokens), random.chance(load.notRepeatableShare));
}

CallerActor::Plan CallerActor::planFor(std::uint32_t tokens, bool notRepeatable) {
  const LoadOptions& load = environment_.options.load;
  base::Random& random = environment_.random;
  constexpr std::uint64_t kPrefixes = 5;
  Plan plan;
  plan.sent.prompt =
      engine::lengthDirective(tokens) +
      std::string(engine::kCacheBlockBytes, static_cast<char>('a' + random.below(kPrefixes))) +
      " request " + std::to_string(++number_);
  plan.sent.seed = number_;
  plan.sent.notRepeatable = notRepeatable;
  plan.request.tenant = {"t"};
  plan.request.workload = {"t/ask"};
  plan.request.prompt = plan.sent.prompt;
  plan.request.seed = plan.sent.seed;
  plan.request.deadline = load.deadline;
  plan.request.stream = random.chance(load.streamShare);
  plan.request.notRepeatable = plan.sent.notRepeatable;
  plan.request.key = {"key-" + std::to_string(number_)};
  // The accepted limit itself: a gateway under an older configuration would refuse it.
  plan.sent.maximumTokens = static_cast<std::uint32_t>(environment_.observations.acceptedCounter());
  plan.request.maximumTokens = plan.sent.maximumTokens;
  const bool resend = plan.sent.notRepeatable && random.chance(load.resendFraction);
  plan.resendsLeft = resend ? 2 : 0;
  if (resend && random.chance(0.5)) {
    // The client lost patience: the same request again, elsewhere, while the first still runs.
    Plan again = plan;
    again.resendsLeft = 0;
    environment_.loop.after(environment_.drawBetween(base::Duration{0}, base::milliseconds(80)),
                            [this, again] { send(again); });
  }
  return plan;
}

void CallerActor::send(const Plan& plan) {
  const std::uint32_t gateways = environment_.options.gateways;
  const auto chosen = static_cast<std::uint32_t>(environment_.random.below(gateways));
  NodeHost* gateway = environment_.node(1 + environment_.options.controllers +
                                        environment_.options.ledgers + chosen);
  ++outstanding_;
  environment_.observations.onRequestSent(plan.sent);
  gateway->request(plan.request, [this, plan](const CallerReply& reply) { onReply(plan, reply); });
}

void CallerActor::onReply(const Plan& plan, const CallerReply& reply) {
  --outstanding_;
  Observations& observations = environment_.observations;
  if (reply.answer) {
    observations.onResponse(plan.sent, *reply.answer);
    return;
  }
  if (reply.refusal) {
    const bool invalid = reply.refusal->reason == gateway::RejectionReason::kInvalid;
    observations.onRefusal(plan.sent, reply.refusal->verdict, invalid, reply.refusal->message);
  } else {
    observations.onConnectionLost(plan.sent, reply.byPlannedStop);
  }
  if (plan.resendsLeft > 0 && !stopped_) {
    Plan again = plan;
    --again.resendsLeft;
    environment_.loop.after(environment_.drawBetween(base::Duration{0}, base::milliseconds(500)),
                            [this, again] { send(again); });
  }
}

}  // namespace tackpick::simulation
