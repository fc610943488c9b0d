/// \file
/// A model engine, emulated: the same code serves tackpick-emulator and the simulator.
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

/// Knobs of EngineSimulator. Times are those of a small model; a fast engine for benches sets them
/// near zero.
struct EngineSimulatorSettings {
  std::string model = "default";
  std::uint32_t slots = 16;              ///< sequences decoded together
  std::uint32_t maxQueuedRequests = 64;  ///< beyond it a request is refused, not run
  base::Duration stepBaseDuration = base::milliseconds(6);
  base::Duration stepDurationPerSequence = base::microseconds(250);
  base::Duration prefillDurationPerToken = base::microseconds(30);
  std::uint32_t tokensPerChunk = 4;
  std::size_t cacheBlocks = 4096;
  base::Duration loadReportLag = base::milliseconds(150);
  base::Duration cacheEventLag = base::milliseconds(300);
  double cacheEventLoss = 0.02;  ///< share of cache events that never come
  std::uint64_t weightBytes = 2'000'000'000;
  base::Duration swapDuration = base::milliseconds(120);
  double swapFailureRate = 0.0;  ///< share of swaps that fail partway
  base::WeightsVersion initialVersion{1};
  bool acceptLowerFence = false;  ///< a deliberate fault, used only by the simulator
};

/// A sequence of cache events with a position, so that a reader can notice gaps.
struct SequencedCacheEvent {
  std::uint64_t sequence = 0;
  CacheEvent event;
};

/// Everything an engine emitted.
struct EngineOutput {
  std::vector<Chunk> chunks;
  std::vector<AttemptEnd> ends;
};

/// Blocks of a prompt, exported from one engine to be imported by another.
struct CacheExport {
  std::vector<std::uint64_t> blocks;
  std::uint64_t bytes = 0;
};

/// What the engine itself knows of a request it ran, for checkers.
struct RunRecord {
  std::string prompt;
  std::uint64_t seed = 0;
  bool notRepeatable = false;
  std::uint32_t producedTokens = 0;
};

/// Continuous batching: all running sequences gain a token per step; a step takes longer the more
/// run, and longer still while prompts are read. Higher priorities preempt lower ones. Weights
/// swap between steps. Deterministic; owned by one thread.
class EngineSimulator {
 public:
  EngineSimulator(base::EngineId id, base::Incarnation incarnation,
                  EngineSimulatorSettings settings, WeightStore& store, base::Random& random,
                  base::TimePoint now);

  /// Takes a request, or refuses it: then nothing was run and the reason is returned.
  std::optional<std::string> submit(const GenerateRequest& request, base::TimePoint now);
  void cancel(base::AttemptId attempt);
  /// Runs the model up to `now`.
  void advance(base::TimePoint now, EngineOutput& output);
  /// When advance() will next have something to do; nothing when idle.
  [[nodiscard]] std::optional<base::TimePoint> nextStepAt() const;

  EngineCommandReply order(const EngineCommand& order, base::TimePoint now);
  /// The engine's own flag: from now on it refuses new work.
  void startDraining() { leaving_ = true; }
  void failNextSwap() { fail_next_swap_ = true; }

  /// The load report as a reader gets it now: late.
  [[nodiscard]] EngineStatus report(base::TimePoint now);
  /// The state without lag.
  [[nodiscard]] EngineStatus status() const;
  /// Cache events after `sequence` that are due; late, and with gaps.
  [[nodiscard]] std::vector<SequencedCacheEvent> cacheEventsAfter(std::uint64_t sequence,
                                                                  base::TimePoint now) const;
  [[nodiscard]] CacheExport exportCache(const std::string& prompt);
  void importCache(const CacheExport& exported, base::TimePoint now);

  [[nodiscard]] base::EngineId id() const { return id_; }
  [[nodiscard]] base::Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] const std::unordered_map<std::uint64_t, RunRecord>& runs() const { return runs_; }
  /// Keeps a record of every attempt in runs(); off by default because it grows.
  void recordRuns() { record_runs_ = true; }

 private:
  struct Sequence {
    GenerateRequest request;
    std::uint64_t promptHash = 0;
    std::uint32_t length = 0;    ///< tokens of the whole answer
    std::uint32_t produced = 0;  ///< position of the next token
    std::uint32_t uncachedTokens = 0;
    bool prefilled = false;
    Chunk chunk;  ///< tokens not yet emitted
  };
  struct DatedStatus {
    base::TimePoint at{};
    EngineStatus status;
  };
  struct DatedCacheEvent {
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
  void publish(const std::vector<CacheEvent>& events, base::TimePoint now);
  void activate(base::WeightsVersion version, base::TimePoint now);

  const base::EngineId id_;
  const base::Incarnation incarnation_;
  EngineSimulatorSettings settings_;
  WeightStore& store_;
  base::Random& random_;
  PrefixCache cache_;
  EngineRole role_ = EngineRole::kMixed;
  bool leaving_ = false;

  std::vector<Sequence> running_;
  std::deque<Sequence> waiting_;
  std::optional<base::TimePoint> step_ends_at_;

  base::Fence highest_fence_;
  base::WeightsVersion active_;
  base::WeightsVersion prepared_;
  base::WeightsVersion preparing_;
  base::TimePoint prepared_at_{};
  base::WeightsVersion swapping_to_;
  base::TimePoint swap_ends_at_{};
  bool fail_next_swap_ = false;
  bool last_swap_failed_ = false;

  std::deque<DatedStatus> history_;
  std::deque<DatedCacheEvent> cache_events_;
  std::uint64_t cache_sequence_ = 0;
  bool record_runs_ = false;
  std::unordered_map<std::uint64_t, RunRecord> runs_;
};

}  // namespace tackpick::engine
