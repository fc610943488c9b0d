#include "engine/engine_simulator.h"

#include <algorithm>
#include <utility>

#include "engine/content.h"

namespace tackpick::engine {

EngineSimulator::EngineSimulator(base::EngineId id, base::Incarnation incarnation,
                                 EngineSimulatorSettings settings, WeightStore& store,
                                 base::Random& random, base::TimePoint now)
    : id_(id),
      incarnation_(incarnation),
      settings_(std::move(settings)),
      store_(store),
      random_(random),
      cache_(settings_.cacheBlocks),
      active_(settings_.initialVersion) {
  history_.push_back({now, status()});
}

std::optional<std::string> EngineSimulator::submit(const GenerateRequest& request,
                                                   base::TimePoint now) {
  if (leaving_) {
    return "leaving";
  }
  if (request.model != settings_.model) {
    return "model not loaded";
  }
  if (!active_.valid()) {
    return "weights unknown after a failed swap";
  }
  if (active_ < request.minimumVersion) {
    return "weights too old";
  }
  if (waiting_.size() >= settings_.maxQueuedRequests) {
    return "queue full";
  }
  Sequence sequence;
  sequence.request = request;
  sequence.promptHash = promptHash(request.prompt);
  sequence.length = std::min(syntheticLength(request.prompt, request.seed), request.maximumTokens);
  sequence.produced = request.resumeFrom;
  if (record_runs_) {
    runs_[request.attempt.value] = {request.prompt, request.seed, request.notRepeatable, 0};
  }
  waiting_.push_back(std::move(sequence));
  if (!step_ends_at_ && !swapping_to_.valid()) {
    startStep(now);
  }
  return std::nullopt;
}

void EngineSimulator::cancel(base::AttemptId attempt) {
  const auto matches = [&](const Sequence& sequence) {
    return sequence.request.attempt == attempt;
  };
  std::erase_if(running_, matches);
  std::erase_if(waiting_, matches);
}

std::optional<base::TimePoint> EngineSimulator::nextStepAt() const {
  std::optional<base::TimePoint> next = step_ends_at_;
  const auto consider = [&](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  if (preparing_.valid()) {
    consider(prepared_at_);
  }
  if (swapping_to_.valid() && !step_ends_at_) {
    consider(swap_ends_at_);
  }
  return next;
}

void EngineSimulator::advance(base::TimePoint now, EngineOutput& output) {
  while (const auto next = nextStepAt()) {
    if (*next > now) {
      break;
    }
    if (preparing_.valid() && prepared_at_ <= *next) {
      prepared_ = std::exchange(preparing_, {});
    }
    if (step_ends_at_ && *step_ends_at_ <= *next) {
      step_ends_at_.reset();
      finishStep(output);
    }
    if (swapping_to_.valid()) {
      if (!step_ends_at_ && swap_ends_at_ <= *next) {
        finishSwap(*next, output);
      }
    }
    if (!step_ends_at_ && !swapping_to_.valid()) {
      startStep(*next);
    }
    history_.push_back({*next, status()});
  }
  while (history_.size() > 1 && history_[1].at + settings_.loadReportLag <= now) {
    history_.pop_front();
  }
}

void EngineSimulator::admit(base::TimePoint now) {
  preempt();
  while (!waiting_.empty() && running_.size() < settings_.slots) {
    const auto best = std::min_element(waiting_.begin(), waiting_.end(),
                                       [](const Sequence& left, const Sequence& right) {
                                         return left.request.priority < right.request.priority;
                                       });
    Sequence sequence = std::move(*best);
    waiting_.erase(best);
    const auto blocks = prefixBlocks(sequence.request.prompt);
    const auto matched = static_cast<std::uint32_t>(cache_.match(blocks));
    const std::uint32_t context = promptTokens(sequence.request.prompt) + sequence.produced;
    sequence.uncachedTokens = context - std::min(context, matched * kBlockTokens);
    sequence.prefilled = false;
    std::vector<CacheEvent> events;
    cache_.store(blocks, events);
    publish(events, now);
    running_.push_back(std::move(sequence));
  }
}

void EngineSimulator::preempt() {
  const auto lowestFirst = [](const Sequence& left, const Sequence& right) {
    return left.request.priority < right.request.priority;
  };
  if (waiting_.empty() || running_.size() < settings_.slots) {
    return;
  }
  const auto urgent = std::min_element(waiting_.begin(), waiting_.end(), lowestFirst);
  const auto victim = std::max_element(running_.begin(), running_.end(), lowestFirst);
  if (urgent->request.priority < victim->request.priority) {
    waiting_.push_back(std::move(*victim));
    running_.erase(victim);
  }
}

void EngineSimulator::startStep(base::TimePoint now) {
  if (!active_.valid()) {
    return;
  }
  admit(now);
  if (running_.empty()) {
    return;
  }
  base::Duration duration = settings_.stepBaseDuration;
  for (Sequence& sequence : running_) {
    duration += settings_.stepDurationPerSequence;
    if (!sequence.prefilled) {
      duration += settings_.prefillDurationPerToken * sequence.uncachedTokens;
      sequence.prefilled = true;
    }
  }
  step_ends_at_ = now + std::max(duration, base::Duration{1});
}

void EngineSimulator::finishStep(EngineOutput& output) {
  for (Sequence& sequence : running_) {
    const GenerateRequest& request = sequence.request;
    if (sequence.produced < sequence.length) {
      if (sequence.chunk.version != active_) {
        flushChunk(sequence, output);  // it was preempted across a swap
      }
      if (sequence.chunk.tokens.empty()) {
        sequence.chunk = {request.attempt, sequence.produced, active_, {}};
      }
      sequence.chunk.tokens.push_back(
          syntheticToken(sequence.promptHash, request.seed, active_, sequence.produced));
      ++sequence.produced;
      if (record_runs_) {
        ++runs_[request.attempt.value].producedTokens;
      }
    }
    const bool finished = sequence.produced >= sequence.length;
    if (finished || sequence.chunk.tokens.size() >= settings_.tokensPerChunk) {
      flushChunk(sequence, output);
    }
    if (finished) {
      AttemptEnd end;
      end.attempt = request.attempt;
      end.kind = EndKind::kFinished;
      end.verdict = base::Verdict::kRan;
      end.totalTokens = sequence.produced;
      const bool stopped = syntheticLength(request.prompt, request.seed) <= request.maximumTokens;
      end.finishReason = stopped ? "stop" : "length";
      output.ends.push_back(std::move(end));
    }
  }
  std::erase_if(running_,
                [](const Sequence& sequence) { return sequence.produced >= sequence.length; });
}

void EngineSimulator::flushChunk(Sequence& sequence, EngineOutput& output) {
  if (!sequence.chunk.tokens.empty()) {
    output.chunks.push_back(std::exchange(sequence.chunk, {}));
  }
}

EngineCommandReply EngineSimulator::order(const EngineCommand& order, base::TimePoint now) {
  EngineCommandReply reply;
  if (order.fence < highest_fence_ && !settings_.acceptLowerFence) {
    reply.status = EngineCommandStatus::kStaleFence;
    reply.state = status();
    return reply;
  }
  highest_fence_ = order.fence;
  switch (order.kind) {
    case EngineCommandKind::kPrepareWeights:
      if (prepared_ != order.version && preparing_ != order.version) {
        preparing_ = order.version;
        prepared_at_ = store_.fetch(settings_.weightBytes, now);
      }
      break;
    case EngineCommandKind::kActivateWeights:
      if (active_ == order.version || swapping_to_ == order.version) {
        break;
      }
      if (prepared_ != order.version) {
        reply.status = EngineCommandStatus::kNotPrepared;
        break;
      }
      activate(order.version, now);
      break;
    case EngineCommandKind::kLoadModel:
      settings_.model = order.model;
      break;
    case EngineCommandKind::kSetRole:
      role_ = order.role;
      break;
    case EngineCommandKind::kLoadAdapter:
      break;
  }
  if (reply.status == EngineCommandStatus::kAccepted && last_swap_failed_) {
    reply.status = EngineCommandStatus::kFailed;
  }
  reply.state = status();
  return reply;
}

void EngineSimulator::activate(base::WeightsVersion version, base::TimePoint now) {
  swapping_to_ = version;
  const base::TimePoint from = step_ends_at_ ? std::max(now, *step_ends_at_) : now;
  swap_ends_at_ = from + settings_.swapDuration;
}

void EngineSimulator::finishSwap(base::TimePoint /*now*/, EngineOutput& output) {
  for (Sequence& sequence : running_) {
    flushChunk(sequence, output);
  }
  const bool fails =
      std::exchange(fail_next_swap_, false) || random_.chance(settings_.swapFailureRate);
  const base::WeightsVersion target = std::exchange(swapping_to_, {});
  last_swap_failed_ = fails;
  if (fails) {
    // Half of the weights are replaced: no stamp would be true, so nothing is produced.
    active_ = {};
    prepared_ = {};
    failAll(output);
    return;
  }
  active_ = target;
}

void EngineSimulator::failAll(EngineOutput& output) {
  const auto fail = [&](const Sequence& sequence) {
    AttemptEnd end;
    end.attempt = sequence.request.attempt;
    end.kind = EndKind::kFailed;
    end.verdict = base::Verdict::kMayHaveRun;
    end.totalTokens = sequence.produced;
    end.message = "weight swap failed";
    output.ends.push_back(std::move(end));
  };
  std::for_each(running_.begin(), running_.end(), fail);
  std::for_each(waiting_.begin(), waiting_.end(), fail);
  running_.clear();
  waiting_.clear();
}

EngineStatus EngineSimulator::status() const {
  EngineStatus status;
  status.engine = id_;
  status.incarnation = incarnation_;
  status.model = settings_.model;
  status.activeVersion = active_;
  status.preparedVersion = prepared_;
  status.role = role_;
  status.draining = leaving_;
  status.slots = settings_.slots;
  status.running = static_cast<std::uint32_t>(running_.size());
  status.waiting = static_cast<std::uint32_t>(waiting_.size());
  status.cacheBlocksUsed = cache_.size();
  status.cacheBlocksTotal = cache_.capacity();
  return status;
}

EngineStatus EngineSimulator::report(base::TimePoint now) {
  EngineStatus late = history_.front().status;
  // The engine's own flags and versions are read at once; only the load figures lag.
  const EngineStatus current = status();
  late.draining = current.draining;
  late.activeVersion = current.activeVersion;
  late.preparedVersion = current.preparedVersion;
  late.age = std::min(now - history_.front().at, settings_.loadReportLag);
  if (running_.empty() && waiting_.empty() && now - history_.back().at >= settings_.loadReportLag) {
    late.running = 0;
    late.waiting = 0;
  }
  return late;
}

void EngineSimulator::publish(const std::vector<CacheEvent>& events, base::TimePoint now) {
  constexpr std::size_t kKeptEvents = 1024;
  for (const CacheEvent& event : events) {
    ++cache_sequence_;
    if (!random_.chance(settings_.cacheEventLoss)) {
      cache_events_.push_back({now + settings_.cacheEventLag, {cache_sequence_, event}});
    }
    if (cache_events_.size() > kKeptEvents) {
      cache_events_.pop_front();
    }
  }
}

std::vector<SequencedCacheEvent> EngineSimulator::cacheEventsAfter(std::uint64_t sequence,
                                                                   base::TimePoint now) const {
  std::vector<SequencedCacheEvent> due;
  for (const DatedCacheEvent& dated : cache_events_) {
    if (dated.visibleAt <= now && dated.event.sequence > sequence) {
      due.push_back(dated.event);
    }
  }
  return due;
}

CacheExport EngineSimulator::exportCache(const std::string& prompt) {
  constexpr std::uint64_t kBytesPerBlock = 2'097'152;
  CacheExport exported;
  exported.blocks = prefixBlocks(prompt);
  exported.blocks.resize(cache_.match(exported.blocks));
  exported.bytes = exported.blocks.size() * kBytesPerBlock;
  return exported;
}

void EngineSimulator::importCache(const CacheExport& exported, base::TimePoint now) {
  std::vector<CacheEvent> events;
  cache_.store(exported.blocks, events);
  publish(events, now);
}

}  // namespace tackpick::engine
