/// \file
/// Model of an engine, used by tackpick-emulator and the simulator.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "engine/engine_commands.h"
#include "engine/engine_status.h"
#include "engine/generation.h"
#include "engine/prefix_cache.h"
#include "engine/weight_store.h"

namespace tackpick::engine {

/// Settings of EngineSimulator. The default durations correspond to a small model.
struct EngineSimulatorSettings {
  std::string model = "default";
  std::uint32_t slots = 16;              ///< maximum number of running sequences
  std::uint32_t maxQueuedRequests = 64;  ///< further requests are rejected
  base::Duration stepBaseDuration = base::milliseconds(6);
  base::Duration stepDurationPerSequence = base::microseconds(250);
  base::Duration prefillDurationPerToken = base::microseconds(30);
  std::uint32_t tokensPerChunk = 4;
  std::size_t cacheCapacityBlocks = 4096;
  base::Duration loadReportDelay = base::milliseconds(150);
  base::Duration cacheEventDelay = base::milliseconds(300);
  double cacheEventLossRate = 0.02;  ///< share of cache events that are lost
  std::uint64_t weightBytes = 2'000'000'000;
  base::Duration swapDuration = base::milliseconds(120);
  double swapFailureRate = 0.0;  ///< share of swaps that fail
  base::WeightsVersion initialVersion{1};
  bool acceptStaleFence = false;  ///< execute commands with a stale fence (mutant)
};

/// Cache event with its sequence number, by which a reader detects lost events.
struct SequencedCacheEvent {
  std::uint64_t sequence = 0;
  CacheEvent event;
};

/// Output of an engine.
struct EngineOutput {
  std::vector<Chunk> chunks;
  std::vector<AttemptEnd> ends;
};

/// Cached blocks of a prompt, exported for import by another engine.
struct CacheExport {
  std::vector<std::uint64_t> blocks;
  std::uint64_t bytes = 0;
};

/// Record of an attempt that the engine ran, for checkers.
struct ExecutionRecord {
  std::string prompt;
  std::uint64_t seed = 0;
  bool notRepeatable = false;
  std::uint32_t producedTokens = 0;
};

/// Simulates an engine with continuous batching. Each step generates one token per running
/// sequence; its duration depends on the number of sequences and on prefill. Higher priorities
/// preempt lower ones. Weights are swapped between steps. Deterministic; owned by one thread.
class EngineSimulator {
 public:
  EngineSimulator(base::EngineId id, base::Incarnation incarnation,
                  EngineSimulatorSettings settings, WeightStore& store, base::Random& random,
                  base::TimePoint now);

  /// Queues a request. Returns the reason if it is rejected, in which case it does not run.
  std::optional<std::string> submit(const GenerateRequest& request, base::TimePoint now);
  void cancel(base::AttemptId attempt);
  /// Simulates up to `now` and appends the output.
  void advance(base::TimePoint now, EngineOutput& output);
  /// Returns the time of the next event that advance() handles; std::nullopt if idle.
  [[nodiscard]] std::optional<base::TimePoint> nextStepAt() const;

  EngineCommandReply execute(const EngineCommand& command, base::TimePoint now);
  /// Sets the draining flag; new requests are rejected from now on.
  void startDraining() { m_draining = true; }
  void failNextSwap() { fail_next_swap_ = true; }

  /// Returns the status reported to a poll, with delayed load figures.
  [[nodiscard]] EngineStatus loadReport(base::TimePoint now);
  /// Returns the current status.
  [[nodiscard]] EngineStatus status() const;
  /// Returns the visible cache events after `sequence`. Events are delayed and some are lost.
  [[nodiscard]] std::vector<SequencedCacheEvent> cacheEventsAfter(std::uint64_t sequence,
                                                                  base::TimePoint now) const;
  [[nodiscard]] CacheExport exportCache(const std::string& prompt);
  void importCache(const CacheExport& exported, base::TimePoint now);

  [[nodiscard]] base::EngineId id() const { return id_; }
  [[nodiscard]] base::Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] const std::unordered_map<std::uint64_t, ExecutionRecord>& executions() const {
    return m_executions;
  }
  /// Keeps a record of every attempt in executions(); its size is not limited.
  void enableExecutionRecords() { m_recordExecutions = true; }

 private:
  struct Sequence {
    GenerateRequest request;
    std::uint64_t promptHash = 0;
    std::uint32_t outputLength = 0;     ///< number of tokens of the complete answer
    std::uint32_t generatedTokens = 0;  ///< position of the next token
    std::uint32_t uncachedTokens = 0;
    bool prefilled = false;
    Chunk chunk;  ///< tokens not yet emitted
  };
  struct TimestampedStatus {
    base::TimePoint at{};
    EngineStatus status;
  };
  struct DelayedCacheEvent {
    base::TimePoint visibleAt{};
    SequencedCacheEvent event;
  };

  void admit(base::TimePoint now);
  void preempt();
  void startStep(base::TimePoint now);
  void finishStep(EngineOutput& output);
  void flushChunk(Sequence& sequence, EngineOutput& output);
  void finishSwap(base::TimePoint now, EngineOutput& output);
  void failAll(EngineOutput& output);
  void publishCacheEvents(const std::vector<CacheEvent>& events, base::TimePoint now);
  void startSwap(base::WeightsVersion version, base::TimePoint now);

  const base::EngineId id_;
  const base::Incarnation incarnation_;
  EngineSimulatorSettings settings_;
  WeightStore& store_;
  base::Random& random_;
  PrefixCache cache_;
  EngineRole role_ = EngineRole::kMixed;
  bool m_draining = false;

  std::vector<Sequence> running_;
  std::deque<Sequence> waiting_;
  std::optional<base::TimePoint> step_ends_at_;

  base::Fence highest_fence_;
  base::WeightsVersion m_activeVersion;
  base::WeightsVersion m_preparedVersion;
  base::WeightsVersion m_preparingVersion;
  base::TimePoint m_preparedAt{};
  base::WeightsVersion m_swapTarget;
  base::TimePoint swap_ends_at_{};
  bool fail_next_swap_ = false;
  bool last_swap_failed_ = false;

  std::deque<TimestampedStatus> m_statusHistory;
  std::deque<DelayedCacheEvent> cache_events_;
  std::uint64_t m_lastCacheEventSequence = 0;
  bool m_recordExecutions = false;
  std::unordered_map<std::uint64_t, ExecutionRecord> m_executions;
};

}  // namespace tackpick::engine
