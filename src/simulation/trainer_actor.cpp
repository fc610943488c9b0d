#include "simulation/trainer_actor.h"

#include <algorithm>
#include <utility>

#include "control/control_commands.h"
#include "engine/content.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kCallTimeout = base::milliseconds(1500);
constexpr base::Duration kPollInterval = base::milliseconds(50);
constexpr std::uint32_t kSamplesPerRead = 64;

}  // namespace

TrainerActor::TrainerActor(Environment& environment, std::uint32_t number,
                           std::uint64_t& publishedVersion)
    : environment_(environment), number_(number), published_version_(publishedVersion) {}

void TrainerActor::start() {
  started_at_ = environment_.loop.now();
  submitLookahead();
  waitForBatch();
}

void TrainerActor::startMeasurement() {
  started_at_ = environment_.loop.now();
  waiting_since_ = started_at_;
  idle_ = base::Duration{0};
  staleness_sum_ = 0.0;
  staleness_count_ = 0;
}

void TrainerActor::stop() {
  stopped_ = true;
  ended_at_ = environment_.loop.now();
  if (waiting_) {
    addIdleTime();
    waiting_since_ = ended_at_;
  }
}

void TrainerActor::addIdleTime() {
  const base::TimePoint end =
      stopped_ ? std::min(ended_at_, environment_.loop.now()) : environment_.loop.now();
  idle_ += std::max(end - waiting_since_, base::Duration{0});
}

void TrainerActor::submitLookahead() {
  const LoadOptions& load = environment_.options.load;
  while (!stopped_ && batches_.size() <= load.batchLookahead) {
    if (load.trace && batch_number_ >= load.trace->batches.size()) {
      return;
    }
    submit();
  }
}

void TrainerActor::submit() {
  const LoadOptions& load = environment_.options.load;
  Batch batch;
  batch.submittedAt = environment_.loop.now();
  batch.sent.batch = {"t/" + std::to_string(number_) + "-" + std::to_string(++batch_number_)};
  batch.sent.minVersion = {
      published_version_ > load.stalenessBound ? published_version_ - load.stalenessBound : 0};
  const std::vector<std::uint32_t>* traceLengths =
      load.trace ? &load.trace->batches.at(batch_number_ - 1) : nullptr;
  const auto count = traceLengths == nullptr ? load.samplesPerBatch
                                             : static_cast<std::uint32_t>(traceLengths->size());
  for (std::uint32_t index = 0; index < count; ++index) {
    constexpr double kMinSampleTokens = 10.0;
    constexpr double kTailIndex = 0.9;
    // Batches share prompts, and responses to one prompt have similar lengths.
    const std::uint64_t prompt = environment_.random.below(load.prompts);
    base::SeededRandom lengths(base::mix(prompt, number_));
    const double tokens =
        std::min(lengths.pareto(kMinSampleTokens, kTailIndex), load.maxSampleTokens);
    ledger::SampleSpec sample;
    sample.index = index;
    sample.prompt = engine::approximateLengthDirective(static_cast<std::uint32_t>(tokens)) +
                    "sample " + std::to_string(prompt);
    sample.seed = batch_number_ * 1000 + index;
    sample.maximumTokens = static_cast<std::uint32_t>(load.maxSampleTokens);
    if (traceLengths != nullptr) {
      sample.prompt = engine::lengthDirective(traceLengths->at(index)) + "traced";
      sample.maximumTokens = traceLengths->at(index);
    }
    batch.sent.samples.push_back(std::move(sample));
  }
  ledger::SubmitBatch submission;
  submission.batch = batch.sent.batch;
  submission.workload = {"t/train"};
  submission.model = environment_.options.engine.model;
  submission.minimumVersion = batch.sent.minVersion;
  submission.samples = batch.sent.samples;
  const SentBatch sent = batch.sent;
  batches_.push_back(std::move(batch));
  call(sent.batch, transport::CommandKind::kCommand,
       base::encode(ledger::LedgerOperation{std::move(submission)}),
       [this, sent](const base::Bytes&) {
         environment_.checker.onBatchAccepted(sent);
         for (Batch& submitted : batches_) {
           submitted.accepted = submitted.accepted || submitted.sent.batch == sent.batch;
         }
       });
}

void TrainerActor::waitForBatch() {
  if (batches_.empty()) {
    return;
  }
  waiting_ = true;
  waiting_since_ = environment_.loop.now();
  read();
}

void TrainerActor::read() {
  if (!batches_.front().accepted) {
    scheduleUnlessRestarted(kPollInterval, [this] { read(); });
    return;
  }
  if (environment_.options.load.trainersRestart && environment_.random.chance(0.03)) {
    ++m_restartCount;
    batches_.front().cursor = 0;  // samples are acknowledged with the complete batch
  }
  // Sometimes repeats the read of an earlier position.
  const std::uint32_t from =
      environment_.random.chance(0.1)
          ? static_cast<std::uint32_t>(environment_.random.below(batches_.front().cursor + 1))
          : batches_.front().cursor;
  const ledger::ReadSamples query{batches_.front().sent.batch, from, kSamplesPerRead};
  call(batches_.front().sent.batch, transport::CommandKind::kQuery,
       base::encode(ledger::LedgerQuery{query}), [this, from](const base::Bytes& bytes) {
         const auto result = base::decode<ledger::ReadResult>(bytes);
         if (result) {
           onSamples(*result, from);
         } else {
           scheduleUnlessRestarted(kPollInterval, [this] { read(); });
         }
       });
}

void TrainerActor::onSamples(const ledger::ReadResult& result, std::uint32_t from) {
  if (result.status != ledger::LedgerStatus::kOk) {
    environment_.checker.onBatchMissing(batches_.front().sent);
  }
  std::uint32_t position = from;
  for (const ledger::SampleResult& sample : result.samples) {
    if (position >= batches_.front().cursor && !stopped_) {
      const std::uint64_t oldest = ledger::oldestVersion(sample.spans).value;
      staleness_sum_ +=
          static_cast<double>(published_version_ - std::min(published_version_, oldest));
      ++staleness_count_;
    }
    environment_.checker.onSample(batches_.front().sent, position, sample);
    ++position;
  }
  batches_.front().cursor = std::max(batches_.front().cursor, position);
  if (batches_.front().cursor >= batches_.front().sent.samples.size()) {
    acknowledge();
  } else if (environment_.options.load.raiseMinVersions && !batches_.front().minVersionRaised &&
             environment_.random.chance(0.2)) {
    raiseMinVersion();
  } else {
    const bool more = result.samples.size() == kSamplesPerRead;
    scheduleUnlessRestarted(more ? base::Duration{0} : kPollInterval, [this] { read(); });
  }
}

void TrainerActor::raiseMinVersion() {
  batches_.front().minVersionRaised = true;
  const base::WeightsVersion minVersion{published_version_};
  const ledger::RaiseMinimumVersion command{batches_.front().sent.batch, minVersion};
  call(batches_.front().sent.batch, transport::CommandKind::kCommand,
       base::encode(ledger::LedgerOperation{command}), [this, minVersion](const base::Bytes&) {
         // Reads the number of committed samples. Samples committed after them must have the new
         // minimum version.
         const ledger::ReadSamples query{batches_.front().sent.batch, batches_.front().cursor, 1};
         call(batches_.front().sent.batch, transport::CommandKind::kQuery,
              base::encode(ledger::LedgerQuery{query}),
              [this, minVersion](const base::Bytes& bytes) {
                const auto result = base::decode<ledger::ReadResult>(bytes);
                if (result && result->status == ledger::LedgerStatus::kOk) {
                  environment_.checker.onMinVersionRaised(batches_.front().sent.batch,
                                                          result->committed, minVersion);
                }
                read();
              });
       });
}

void TrainerActor::acknowledge() {
  environment_.checker.onBatchComplete(batches_.front().sent);
  addIdleTime();
  waiting_ = false;
  environment_.checker.statistics().batchSeconds.push_back(
      base::toSeconds(environment_.loop.now() - batches_.front().submittedAt));
  const ledger::AcknowledgeSamples command{batches_.front().sent.batch, batches_.front().cursor};
  call(batches_.front().sent.batch, transport::CommandKind::kCommand,
       base::encode(ledger::LedgerOperation{command}), [this](const base::Bytes&) {
         batches_.pop_front();
         submitLookahead();
         scheduleUnlessRestarted(environment_.options.load.trainingTime, [this] { publish(); });
       });
}

void TrainerActor::publish() {
  if (stopped_) {
    waitForBatch();  // submitted batches are still read
    return;
  }
  if (environment_.options.load.trainerPublishesOnce && published_version_ > 1) {
    return;
  }
  ++published_version_;
  ++environment_.checker.statistics().versionsPublished;
  environment_.checker.onVersionPublished({published_version_});
  control::ControlCommand command;
  command.operation =
      control::PublishWeights{environment_.options.engine.model, {published_version_}};
  callControllers(base::encode(command), [](const base::Bytes&) {});
  submitLookahead();
  waitForBatch();
}

void TrainerActor::call(const base::BatchId& batch, transport::CommandKind kind,
                        const base::Bytes& payload, const OnResult& onResult) {
  retryUntilAnswered(
      [kind, payload, batch](SimulatedNode& gateway, SimulatedNode::ResultHandler handler) {
        gateway.callLedger(batch, kind, payload, std::move(handler));
      },
      onResult);
}

void TrainerActor::callControllers(const base::Bytes& payload, const OnResult& onResult) {
  retryUntilAnswered(
      [payload](SimulatedNode& gateway, SimulatedNode::ResultHandler handler) {
        gateway.callControllers(payload, std::move(handler));
      },
      onResult);
}

void TrainerActor::retryUntilAnswered(
    const std::function<void(SimulatedNode&, SimulatedNode::ResultHandler)>& send,
    const OnResult& onResult) {
  const auto answered = std::make_shared<bool>(false);
  send(*randomGateway(), [answered, onResult](const base::Bytes* result) {
    if (result != nullptr && !*answered) {
      *answered = true;
      onResult(*result);
    }
  });
  environment_.loop.scheduleAfter(kCallTimeout, [this, answered, send, onResult] {
    if (!*answered) {
      *answered = true;  // a late response to this attempt is ignored
      retryUntilAnswered(send, onResult);
    }
  });
}

void TrainerActor::scheduleUnlessRestarted(base::Duration delay, EventLoop::Callback action) {
  environment_.loop.scheduleAfter(
      delay, [this, restartCount = m_restartCount, action = std::move(action)] {
        if (restartCount == m_restartCount) {
          action();
        } else {
          read();  // a restarted trainer starts by reading its batch
        }
      });
}

SimulatedNode* TrainerActor::randomGateway() {
  const SimulationOptions& options = environment_.options;
  const auto chosen = static_cast<std::uint32_t>(environment_.random.below(options.gateways));
  return environment_.node(1 + options.controllers + options.ledgers + chosen);
}

double TrainerActor::idleFraction() const {
  const base::Duration total = ended_at_ - started_at_;
  return total.count() == 0 ? 0.0 : base::toSeconds(idle_) / base::toSeconds(total);
}

double TrainerActor::meanStaleness() const {
  return staleness_count_ == 0 ? 0.0 : staleness_sum_ / static_cast<double>(staleness_count_);
}

}  // namespace tackpick::simulation
