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
      cache_(settings_.cacheCapacityBlocks),
      m_activeVersion(settings_.initialVersion) {
  m_statusHistory.push_back({now, status()});
}

std::optional<std::string> EngineSimulator::submit(const GenerateRequest& request,
                                                   base::TimePoint now) {
  if (m_draining) {
    return "leaving";
  }
  if (request.model != settings_.model) {
    return "model not loaded";
  }
  if (!m_activeVersion.valid()) {
    return "weights unknown after a failed swap";
  }
  if (m_activeVersion < request.minimumVersion) {
    return "weights too old";
  }
  if (waiting_.size() >= settings_.maxQueuedRequests) {
    return "queue full";
  }
  Sequence sequence;
  sequence.request = request;
  sequence.promptHash = promptHash(request.prompt);
  sequence.outputLength =
      std::min(syntheticLength(request.prompt, request.seed), request.maximumTokens);
  sequence.generatedTokens = request.resumeFrom;
  if (m_recordExecutions) {
    m_executions[request.attempt.value] = {request.prompt, request.seed, request.notRepeatable, 0};
  }
  waiting_.push_back(std::move(sequence));
  if (!step_ends_at_ && !m_swapTarget.valid()) {
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
  const auto updateNext = [&](base::TimePoint at) { next = next ? std::min(*next, at) : at; };
  if (m_preparingVersion.valid()) {
    updateNext(m_preparedAt);
  }
  if (m_swapTarget.valid() && !step_ends_at_) {
    updateNext(swap_ends_at_);
  }
  return next;
}

void EngineSimulator::advance(base::TimePoint now, EngineOutput& output) {
  while (const auto next = nextStepAt()) {
    if (*next > now) {
      break;
    }
    if (m_preparingVersion.valid() && m_preparedAt <= *next) {
      m_preparedVersion = std::exchange(m_preparingVersion, {});
    }
    if (step_ends_at_ && *step_ends_at_ <= *next) {
      step_ends_at_.reset();
      finishStep(output);
    }
    if (m_swapTarget.valid()) {
      if (!step_ends_at_ && swap_ends_at_ <= *next) {
        finishSwap(*next, output);
      }
    }
    if (!step_ends_at_ && !m_swapTarget.valid()) {
      startStep(*next);
    }
    m_statusHistory.push_back({*next, status()});
  }
  while (m_statusHistory.size() > 1 && m_statusHistory[1].at + settings_.loadReportDelay <= now) {
    m_statusHistory.pop_front();
  }
}

void EngineSimulator::admit(base::TimePoint now) {
  preempt();
  while (!waiting_.empty() && running_.size() < settings_.slots) {
    const auto highestPriority = std::min_element(
        waiting_.begin(), waiting_.end(), [](const Sequence& left, const Sequence& right) {
          return left.request.priority < right.request.priority;
        });
    Sequence sequence = std::move(*highestPriority);
    waiting_.erase(highestPriority);
    const auto blocks = prefixBlockHashes(sequence.request.prompt);
    const auto matched = static_cast<std::uint32_t>(cache_.lookupPrefix(blocks));
    const std::uint32_t context =
        promptTokenCount(sequence.request.prompt) + sequence.generatedTokens;
    sequence.uncachedTokens = context - std::min(context, matched * kCacheBlockTokens);
    sequence.prefilled = false;
    std::vector<CacheEvent> events;
    cache_.store(blocks, events);
    publishCacheEvents(events, now);
    running_.push_back(std::move(sequence));
  }
}

void EngineSimulator::preempt() {
  const auto byPriority = [](const Sequence& left, const Sequence& right) {
    return left.request.priority < right.request.priority;
  };
  if (waiting_.empty() || running_.size() < settings_.slots) {
    return;
  }
  const auto highestWaiting = std::min_element(waiting_.begin(), waiting_.end(), byPriority);
  const auto victim = std::max_element(running_.begin(), running_.end(), byPriority);
  if (highestWaiting->request.priority < victim->request.priority) {
    waiting_.push_back(std::move(*victim));
    running_.erase(victim);
  }
}

void EngineSimulator::startStep(base::TimePoint now) {
  if (!m_activeVersion.valid()) {
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
    if (sequence.generatedTokens < sequence.outputLength) {
      if (sequence.chunk.version != m_activeVersion) {
        flushChunk(sequence, output);  // weights were swapped during preemption
      }
      if (sequence.chunk.tokens.empty()) {
        sequence.chunk = {request.attempt, sequence.generatedTokens, m_activeVersion, {}};
      }
      sequence.chunk.tokens.push_back(syntheticToken(sequence.promptHash, request.seed,
                                                     m_activeVersion, sequence.generatedTokens));
      ++sequence.generatedTokens;
      if (m_recordExecutions) {
        ++m_executions[request.attempt.value].producedTokens;
      }
    }
    const bool finished = sequence.generatedTokens >= sequence.outputLength;
    if (finished || sequence.chunk.tokens.size() >= settings_.tokensPerChunk) {
      flushChunk(sequence, output);
    }
    if (finished) {
      AttemptEnd end;
      end.attempt = request.attempt;
      end.kind = EndKind::kFinished;
      end.verdict = base::Verdict::kRan;
      end.totalTokens = sequence.generatedTokens;
      const bool reachedNaturalEnd =
          syntheticLength(request.prompt, request.seed) <= request.maximumTokens;
      end.finishReason = reachedNaturalEnd ? "stop" : "length";
      output.ends.push_back(std::move(end));
    }
  }
  std::erase_if(running_, [](const Sequence& sequence) {
    return sequence.generatedTokens >= sequence.outputLength;
  });
}

void EngineSimulator::flushChunk(Sequence& sequence, EngineOutput& output) {
  if (!sequence.chunk.tokens.empty()) {
    output.chunks.push_back(std::exchange(sequence.chunk, {}));
  }
}

EngineCommandReply EngineSimulator::execute(const EngineCommand& command, base::TimePoint now) {
  EngineCommandReply reply;
  if (command.fence < highest_fence_ && !settings_.acceptStaleFence) {
    reply.status = EngineCommandStatus::kStaleFence;
    reply.state = status();
    return reply;
  }
  highest_fence_ = command.fence;
  switch (command.kind) {
    case EngineCommandKind::kPrepareWeights:
      if (m_preparedVersion != command.version && m_preparingVersion != command.version) {
        m_preparingVersion = command.version;
        m_preparedAt = store_.fetch(settings_.weightBytes, now);
      }
      break;
    case EngineCommandKind::kActivateWeights:
      if (m_activeVersion == command.version || m_swapTarget == command.version) {
        break;
      }
      if (m_preparedVersion != command.version) {
        reply.status = EngineCommandStatus::kNotPrepared;
        break;
      }
      startSwap(command.version, now);
      break;
    case EngineCommandKind::kLoadModel:
      settings_.model = command.model;
      break;
    case EngineCommandKind::kSetRole:
      role_ = command.role;
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

void EngineSimulator::startSwap(base::WeightsVersion version, base::TimePoint now) {
  m_swapTarget = version;
  const base::TimePoint from = step_ends_at_ ? std::max(now, *step_ends_at_) : now;
  swap_ends_at_ = from + settings_.swapDuration;
}

void EngineSimulator::finishSwap(base::TimePoint /*now*/, EngineOutput& output) {
  for (Sequence& sequence : running_) {
    flushChunk(sequence, output);
  }
  const bool fails =
      std::exchange(fail_next_swap_, false) || random_.chance(settings_.swapFailureRate);
  const base::WeightsVersion target = std::exchange(m_swapTarget, {});
  last_swap_failed_ = fails;
  if (fails) {
    // The weights are a mixture of versions: no version label would be correct, so no tokens are
    // generated.
    m_activeVersion = {};
    m_preparedVersion = {};
    failAll(output);
    return;
  }
  m_activeVersion = target;
}

void EngineSimulator::failAll(EngineOutput& output) {
  const auto fail = [&](const Sequence& sequence) {
    AttemptEnd end;
    end.attempt = sequence.request.attempt;
    end.kind = EndKind::kFailed;
    end.verdict = base::Verdict::kMayHaveRun;
    end.totalTokens = sequence.generatedTokens;
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
  status.activeVersion = m_activeVersion;
  status.preparedVersion = m_preparedVersion;
  status.role = role_;
  status.draining = m_draining;
  status.slots = settings_.slots;
  status.running = static_cast<std::uint32_t>(running_.size());
  status.waiting = static_cast<std::uint32_t>(waiting_.size());
  status.cacheBlocksUsed = cache_.size();
  status.cacheBlocksTotal = cache_.capacity();
  return status;
}

EngineStatus EngineSimulator::loadReport(base::TimePoint now) {
  EngineStatus delayed = m_statusHistory.front().status;
  // Flags and versions are current; only the load figures are delayed.
  const EngineStatus current = status();
  delayed.draining = current.draining;
  delayed.activeVersion = current.activeVersion;
  delayed.preparedVersion = current.preparedVersion;
  delayed.age = std::min(now - m_statusHistory.front().at, settings_.loadReportDelay);
  if (running_.empty() && waiting_.empty() &&
      now - m_statusHistory.back().at >= settings_.loadReportDelay) {
    delayed.running = 0;
    delayed.waiting = 0;
  }
  return delayed;
}

void EngineSimulator::publishCacheEvents(const std::vector<CacheEvent>& events,
                                         base::TimePoint now) {
  constexpr std::size_t kMaxCacheEvents = 1024;
  for (const CacheEvent& event : events) {
    ++m_lastCacheEventSequence;
    if (!random_.chance(settings_.cacheEventLossRate)) {
      cache_events_.push_back({now + settings_.cacheEventDelay, {m_lastCacheEventSequence, event}});
    }
    if (cache_events_.size() > kMaxCacheEvents) {
      cache_events_.pop_front();
    }
  }
}

std::vector<SequencedCacheEvent> EngineSimulator::cacheEventsAfter(std::uint64_t sequence,
                                                                   base::TimePoint now) const {
  std::vector<SequencedCacheEvent> due;
  for (const DelayedCacheEvent& delayedEvent : cache_events_) {
    if (delayedEvent.visibleAt <= now && delayedEvent.event.sequence > sequence) {
      due.push_back(delayedEvent.event);
    }
  }
  return due;
}

CacheExport EngineSimulator::exportCache(const std::string& prompt) {
  constexpr std::uint64_t kBytesPerBlock = 2'097'152;
  CacheExport exported;
  exported.blocks = prefixBlockHashes(prompt);
  exported.blocks.resize(cache_.lookupPrefix(exported.blocks));
  exported.bytes = exported.blocks.size() * kBytesPerBlock;
  return exported;
}

void EngineSimulator::importCache(const CacheExport& exported, base::TimePoint now) {
  std::vector<CacheEvent> events;
  cache_.store(exported.blocks, events);
  publishCacheEvents(events, now);
}

}  // namespace tackpick::engine
