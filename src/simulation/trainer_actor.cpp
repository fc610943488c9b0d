#include "simulation/trainer_actor.h"

#include <algorithm>
#include <utility>

#include "control/control_commands.h"
#include "engine/content.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kCallTimeout = base::milliseconds(1500);
constexpr base::Duration kPollPause = base::milliseconds(50);
constexpr std::uint32_t kSamplesPerRead = 64;

}  // namespace

TrainerActor::TrainerActor(Environment& environment, std::uint32_t number,
                           std::uint64_t& publishedVersion)
    : environment_(environment), number_(number), published_version_(publishedVersion) {}

void TrainerActor::start() {
  started_at_ = environment_.loop.now();
  submit();
}

void TrainerActor::submit() {
  if (stopped_) {
    return;
  }
  const LoadOptions& load = environment_.options.load;
  Batch batch;
  batch.sent.batch = {"t/" + std::to_string(number_) + "-" + std::to_string(++batch_number_)};
  batch.sent.oldestAllowed = {
      published_version_ > load.stalenessBound ? published_version_ - load.stalenessBound : 0};
  for (std::uint32_t index = 0; index < load.samplesPerBatch; ++index) {
    constexpr double kShortestSample = 10.0;
    constexpr double kTailIndex = 0.9;
    const double tokens =
        std::min(environment_.random.pareto(kShortestSample, kTailIndex), load.longestSample);
    ledger::SampleSpecification sample;
    sample.index = index;
    sample.prompt = engine::lengthDirective(static_cast<std::uint32_t>(tokens)) + "sample " +
                    std::to_string(environment_.random.below(8));
    sample.seed = batch_number_ * 1000 + index;
    sample.maximumTokens = static_cast<std::uint32_t>(load.longestSample);
    batch.sent.samples.push_back(std::move(sample));
  }
  ledger::SubmitBatch submission;
  submission.batch = batch.sent.batch;
  submission.workload = {"t/train"};
  submission.model = environment_.options.engine.model;
  submission.minimumVersion = batch.sent.oldestAllowed;
  submission.samples = batch.sent.samples;
  batch_ = std::move(batch);
  waiting_since_ = environment_.loop.now();
  call(transport::CommandKind::kCommand,
       base::encode(ledger::LedgerOperation{std::move(submission)}), [this](const base::Bytes&) {
         environment_.observations.onBatchAccepted(batch_->sent);
         read();
       });
}

void TrainerActor::read() {
  if (environment_.options.load.trainersRestart && environment_.random.chance(0.03)) {
    ++run_;
    batch_->cursor = 0;  // nothing is acknowledged yet: it reads from the start
  }
  // Sometimes a place is read again that was read before.
  const std::uint32_t from =
      environment_.random.chance(0.1)
          ? static_cast<std::uint32_t>(environment_.random.below(batch_->cursor + 1))
          : batch_->cursor;
  const ledger::ReadSamples question{batch_->sent.batch, from, kSamplesPerRead};
  call(transport::CommandKind::kQuery, base::encode(ledger::LedgerQuery{question}),
       [this, from](const base::Bytes& bytes) {
         const auto result = base::decode<ledger::ReadResult>(bytes);
         if (result) {
           onSamples(*result, from);
         } else {
           later(kPollPause, [this] { read(); });
         }
       });
}

void TrainerActor::onSamples(const ledger::ReadResult& result, std::uint32_t from) {
  if (result.status != ledger::LedgerStatus::kOk) {
    environment_.observations.onBatchMissing(batch_->sent);
  }
  std::uint32_t position = from;
  for (const ledger::SampleResult& sample : result.samples) {
    if (position >= batch_->cursor) {
      const std::uint64_t oldest = ledger::oldestVersion(sample.spans).value;
      staleness_sum_ +=
          static_cast<double>(published_version_ - std::min(published_version_, oldest));
      ++staleness_count_;
    }
    environment_.observations.onSample(batch_->sent, position, sample);
    ++position;
  }
  batch_->cursor = std::max(batch_->cursor, position);
  if (batch_->cursor >= batch_->sent.samples.size()) {
    acknowledge();
  } else if (environment_.options.load.tightenBatches && !batch_->tightening &&
             environment_.random.chance(0.2)) {
    tighten();
  } else {
    later(kPollPause, [this] { read(); });
  }
}

void TrainerActor::tighten() {
  batch_->tightening = true;
  const base::WeightsVersion oldest{published_version_};
  const ledger::TightenBatch command{batch_->sent.batch, oldest};
  call(transport::CommandKind::kCommand, base::encode(ledger::LedgerOperation{command}),
       [this, oldest](const base::Bytes&) {
         // How far the batch is now: what is committed later obeys the new bound.
         const ledger::ReadSamples question{batch_->sent.batch, batch_->cursor, 1};
         call(transport::CommandKind::kQuery, base::encode(ledger::LedgerQuery{question}),
              [this, oldest](const base::Bytes& bytes) {
                const auto result = base::decode<ledger::ReadResult>(bytes);
                if (result && result->status == ledger::LedgerStatus::kOk) {
                  environment_.observations.onBatchTightened(batch_->sent.batch, result->committed,
                                                             oldest);
                }
                read();
              });
       });
}

void TrainerActor::acknowledge() {
  environment_.observations.onBatchWhole(batch_->sent);
  idle_ += environment_.loop.now() - waiting_since_;
  const ledger::AcknowledgeSamples command{batch_->sent.batch, batch_->cursor};
  call(transport::CommandKind::kCommand, base::encode(ledger::LedgerOperation{command}),
       [this](const base::Bytes&) {
         batch_.reset();
         later(environment_.options.load.trainingTime, [this] { publish(); });
       });
}

void TrainerActor::publish() {
  if (stopped_) {
    return;
  }
  ++published_version_;
  ++environment_.observations.figures().versionsPublished;
  control::ControlCommand command;
  command.operation =
      control::PublishWeights{environment_.options.engine.model, {published_version_}};
  callControl(base::encode(command), [](const base::Bytes&) {});
  submit();
}

void TrainerActor::call(transport::CommandKind kind, const base::Bytes& payload,
                        const OnResult& onResult) {
  const base::BatchId batch = batch_->sent.batch;
  repeatUntilAnswered(
      [kind, payload, batch](NodeHost& gateway, NodeHost::ResultHandler handler) {
        gateway.callLedger(batch, kind, payload, std::move(handler));
      },
      onResult);
}

void TrainerActor::callControl(const base::Bytes& payload, const OnResult& onResult) {
  repeatUntilAnswered(
      [payload](NodeHost& gateway, NodeHost::ResultHandler handler) {
        gateway.callControl(payload, std::move(handler));
      },
      onResult);
}

void TrainerActor::repeatUntilAnswered(
    const std::function<void(NodeHost&, NodeHost::ResultHandler)>& send, const OnResult& onResult) {
  const auto answered = std::make_shared<bool>(false);
  send(*someGateway(), [answered, onResult](const base::Bytes* result) {
    if (result != nullptr && !*answered) {
      *answered = true;
      onResult(*result);
    }
  });
  environment_.loop.after(kCallTimeout, [this, answered, send, onResult] {
    if (!*answered) {
      *answered = true;  // a late answer to the first try is ignored
      repeatUntilAnswered(send, onResult);
    }
  });
}

void TrainerActor::later(base::Duration delay, EventLoop::Action action) {
  environment_.loop.after(delay, [this, run = run_, action = std::move(action)] {
    if (run == run_) {
      action();
    } else {
      read();  // the restarted trainer begins by reading its batch
    }
  });
}

NodeHost* TrainerActor::someGateway() {
  const SimulationOptions& options = environment_.options;
  const auto chosen = static_cast<std::uint32_t>(environment_.random.below(options.gateways));
  return environment_.node(1 + options.controllers + options.ledgers + chosen);
}

double TrainerActor::idleShare() const {
  const base::Duration total = environment_.loop.now() - started_at_;
  return total.count() == 0 ? 0.0 : base::toSeconds(idle_) / base::toSeconds(total);
}

double TrainerActor::meanStaleness() const {
  return staleness_count_ == 0 ? 0.0 : staleness_sum_ / static_cast<double>(staleness_count_);
}

}  // namespace tackpick::simulation
