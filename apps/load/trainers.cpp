#include "trainers.h"

#include <algorithm>
#include <utility>

#include "base/timer.h"

namespace tackpick::load {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kGone = 410;
constexpr auto kRetryDelay = base::milliseconds(100);
constexpr auto kPollInterval = base::milliseconds(20);

}  // namespace

Trainer::Trainer(asio::io_context& context, http::Client& client, const Options& options,
                 const TrainerWorkload& workload, std::uint64_t number, PublishedWeights& weights,
                 Report& report)
    : context_(context),
      client_(client),
      options_(options),
      workload_(workload),
      number_(number),
      weights_(weights),
      report_(report),
      random_(base::mix(options.seed, 1000 + number)) {}

void Trainer::start(base::TimePoint end) {
  end_ = end;
  started_at_ = clock_.now();
  submitLookahead();
  waitForBatch();
}

Trainer::Batch Trainer::makeBatch() {
  Batch batch;
  batch.name =
      workload_.name + "-" + std::to_string(options_.seed) + "-" + std::to_string(++batch_number_);
  batch.trainerVersion = weights_.version;
  for (std::uint32_t i = 0; i < workload_.samplesPerBatch; ++i) {
    // Batches share prompts, and responses to one prompt have similar lengths.
    constexpr std::uint64_t kPrompts = 40;
    const std::uint64_t prompt = random_.below(kPrompts);
    base::SeededRandom lengths(base::mix(prompt, base::mix(number_, options_.seed)));
    const double typicalTokens =
        std::min(lengths.pareto(workload_.minTokens, workload_.tailIndex), workload_.maxTokens);
    const auto tokens = static_cast<std::uint32_t>(typicalTokens);
    Sample sample;
    sample.maximumTokens = static_cast<std::uint32_t>(workload_.maxTokens);
    sample.seed = (batch_number_ << 20U) + i;
    sample.prompt = engine::approximateLengthDirective(tokens) + workload_.name + " prompt " +
                    std::to_string(prompt);
    batch.samples.push_back(std::move(sample));
  }
  batch.deliveryCounts.assign(batch.samples.size(), 0);
  return batch;
}

void Trainer::submitLookahead() {
  while (batches_.size() <= workload_.batchLookahead && clock_.now() < end_) {
    batches_.push_back(std::make_shared<Batch>(makeBatch()));
    report_.samplesExpected += workload_.samplesPerBatch;
    submit(batches_.back());
  }
}

void Trainer::submit(const std::shared_ptr<Batch>& batch) {
  Json samples = Json::array();
  for (const Sample& sample : batch->samples) {
    samples.push_back(
        {{"prompt", sample.prompt}, {"seed", sample.seed}, {"max_tokens", sample.maximumTokens}});
  }
  const Json body{{"batch", batch->name},
                  {"workload", workload_.name},
                  {"trainer_version", batch->trainerVersion},
                  {"samples", std::move(samples)}};
  batch->submittedAt = clock_.now();
  call("POST", "/v1/batches", body.dump(),
       [batch](const http::ClientResult& /*result*/) { batch->submitted = true; });
}

void Trainer::waitForBatch() {
  if (batches_.empty()) {
    finish();
    return;
  }
  waiting_since_ = clock_.now();
  read();
}

void Trainer::read() {
  Batch& batch = *batches_.front();
  if (!batch.submitted) {
    runAfter(kPollInterval, [this] { read(); });
    return;
  }
  call("GET",
       "/v1/batches/" + batch.name + "/samples?max=256&cursor=" + std::to_string(batch.cursor), "",
       [this](const http::ClientResult& result) { onSamples(result); });
}

void Trainer::onSamples(const http::ClientResult& result) {
  Batch& batch = *batches_.front();
  const Json body = Json::parse(result.body, nullptr, false);
  if (!body.is_object() || !body.contains("samples")) {
    runAfter(kPollInterval, [this] { read(); });
    return;
  }
  const Json& samples = body["samples"];
  for (const Json& sample : samples) {
    checkSample(batch, sample);
  }
  batch.cursor = body["cursor"].get<std::uint32_t>();
  if (samples.empty()) {
    runAfter(kPollInterval, [this] { read(); });
    return;
  }
  score(samples, [this] {
    if (batches_.front()->cursor == batches_.front()->samples.size()) {
      acknowledge();
    } else {
      read();
    }
  });
}

void Trainer::checkSample(Batch& batch, const Json& sample) {
  ++report_.samplesDelivered;
  const auto index = sample["index"].get<std::uint32_t>();
  if (index >= batch.samples.size()) {
    ++report_.samplesMislabelled;
    return;
  }
  if (++batch.deliveryCounts[index] > 1) {
    ++report_.samplesDuplicated;
  }
  const Sample& expected = batch.samples[index];
  const ReceivedResponse response = parseResponse(sample["token_ids"], sample["weights"]);
  if (!hasExpectedLength(response, expected.prompt, expected.seed, expected.maximumTokens) ||
      !hasCorrectVersions(response, expected.prompt, expected.seed)) {
    ++report_.samplesMislabelled;
  }
  const std::uint64_t oldest = ledger::oldestVersion(response.spans).value;
  if (oldest + workload_.stalenessBound < batch.trainerVersion) {
    ++report_.samplesStale;
  }
  const std::uint64_t versionLag = weights_.version > oldest ? weights_.version - oldest : 0;
  report_.staleness.push_back(static_cast<double>(versionLag));
}

void Trainer::score(const Json& samples, std::function<void()> callback) {
  if (options_.scorerUrl.empty()) {
    callback();
    return;
  }
  http::ClientRequest request;
  request.method = "POST";
  request.url = options_.scorerUrl + "/score";
  request.body = samples.dump();
  request.timeout = base::seconds(2);
  client_.start(request, nullptr,
                [this, samples, callback = std::move(callback)](const http::ClientResult& result) {
                  if (result.complete && result.status == kOk) {
                    callback();
                  } else {
                    runAfter(kRetryDelay, [this, samples, callback] { score(samples, callback); });
                  }
                });
}

void Trainer::acknowledge() {
  const Batch& batch = *batches_.front();
  call("POST", "/v1/batches/" + batch.name + "/acknowledge", Json{{"cursor", batch.cursor}}.dump(),
       [this](const http::ClientResult& /*result*/) { onBatchComplete(); });
}

void Trainer::onBatchComplete() {
  const Batch& batch = *batches_.front();
  const base::TimePoint now = clock_.now();
  report_.trainerIdleTime += now - waiting_since_;
  report_.batchSeconds.push_back(base::toSeconds(now - batch.submittedAt));
  ++report_.batches;
  report_.samplesMissing += static_cast<std::uint64_t>(
      std::count(batch.deliveryCounts.begin(), batch.deliveryCounts.end(), 0));
  batches_.pop_front();
  submitLookahead();
  runAfter(workload_.trainingTime, [this] { publish(); });
}

void Trainer::publish() {
  ++weights_.version;
  ++report_.weightsPublished;
  call("POST", "/v1/weights", Json{{"model", "default"}, {"version", weights_.version}}.dump(),
       [](const http::ClientResult& /*result*/) {});
  waitForBatch();
}

void Trainer::finish() {
  report_.trainerTotalTime += clock_.now() - started_at_;
  m_done = true;
}

void Trainer::runAfter(base::Duration delay, std::function<void()> callback) {
  auto timer = std::make_shared<base::Timer>(context_, delay);
  timer->async_wait(
      [timer, callback = std::move(callback)](const asio::error_code& /*error*/) { callback(); });
}

void Trainer::call(const std::string& method, const std::string& path, const std::string& body,
                   OnResponse onResponse) {
  http::ClientRequest request;
  request.method = method;
  request.url = options_.gateways[gateway_ % options_.gateways.size()] + path;
  request.headers["Authorization"] = "Bearer " + options_.trainerToken;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  request.timeout = base::seconds(15);
  client_.start(request, nullptr,
                [this, method, path, body,
                 onResponse = std::move(onResponse)](const http::ClientResult& result) {
                  constexpr int kConflict = 409;
                  // Another trainer has already published a higher version of the shared model.
                  const bool superseded = result.status == kConflict && path == "/v1/weights";
                  const bool answered =
                      result.complete && (result.status == kOk || result.status == kAccepted ||
                                          result.status == kGone || superseded);
                  if (answered) {
                    onResponse(result);
                    return;
                  }
                  ++gateway_;
                  runAfter(kRetryDelay, [this, method, path, body, onResponse] {
                    call(method, path, body, onResponse);
                  });
                });
}

}  // namespace tackpick::load
