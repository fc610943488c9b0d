#include "runtime/trainer_api.h"

#include <algorithm>

#include "runtime/api_responses.h"
#include "runtime/daemon.h"
#include "telemetry/log.h"

namespace tackpick::runtime {
namespace {

using base::Verdict;

int statusOf(ledger::LedgerStatus status) {
  switch (status) {
    case ledger::LedgerStatus::kOk:
    case ledger::LedgerStatus::kAlreadyApplied:
      return kOk;
    case ledger::LedgerStatus::kNotFound:
      return kNotFound;
    case ledger::LedgerStatus::kExpired:
      return kGone;
    case ledger::LedgerStatus::kConflict:
      return kConflict;
    case ledger::LedgerStatus::kStaleVersion:
    case ledger::LedgerStatus::kInvalid:
    case ledger::LedgerStatus::kRejected:
      return kUnprocessable;
  }
  return kUnprocessable;
}

}  // namespace

void TrainerApi::handle(const http::Request& request, const control::CredentialRecord& credential,
                        const ResponderPointer& responder) {
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/batches") {
    submitBatch(request, credential, responder);
  } else if (post && request.path == "/v1/weights") {
    publishWeights(request, responder);
  } else {
    batchPath(request, credential, responder);
  }
}

void TrainerApi::submitBatch(const http::Request& request,
                             const control::CredentialRecord& credential,
                             const ResponderPointer& responder) {
  std::string problem;
  const Json body = parseBody(request, problem);
  JsonReader reader(body);
  ledger::SubmitBatch submission;
  submission.batch = {credential.tenant.value + "/" + reader.requiredText("batch")};
  submission.workload = {credential.tenant.value + "/" + reader.requiredText("workload")};
  const auto trainerVersion = reader.integer("trainer_version", 0, 0, kMaximumInteger);
  for (const Json& item : reader.array("samples")) {
    JsonReader sample(item);
    ledger::SampleSpec specification;
    specification.index = static_cast<std::uint32_t>(submission.samples.size());
    specification.prompt = sample.requiredText("prompt");
    specification.seed = static_cast<std::uint64_t>(sample.integer("seed", 0, 0, kMaximumInteger));
    specification.maximumTokens =
        static_cast<std::uint32_t>(sample.integer("max_tokens", 256, 1, kMaximumUnsigned32));
    reader.problem(sample.firstProblem());
    submission.samples.push_back(std::move(specification));
  }
  problem = problem.empty() ? reader.firstProblem() : problem;
  const control::SettingsTree& tree = daemon_.gateway()->view().settings();
  if (problem.empty() && tree.find(submission.workload.value) == nullptr) {
    problem = "no workload " + submission.workload.value;
  }
  if (!problem.empty()) {
    respondError(*responder, kBadRequest, "invalid", problem);
    return;
  }
  submission.model = tree.text(submission.workload.value, control::SettingKey::kModel);
  const std::int64_t bound =
      tree.integer(submission.workload.value, control::SettingKey::kStalenessBound);
  submission.minimumVersion = {
      static_cast<std::uint64_t>(std::max<std::int64_t>(trainerVersion - bound, 0))};
  sendToLedger(submission.batch, submission, responder);
}

void TrainerApi::batchPath(const http::Request& request,
                           const control::CredentialRecord& credential,
                           const ResponderPointer& responder) {
  // /v1/batches/NAME/ACTION; the tenant's prefix keeps one tenant from another's batches.
  constexpr std::string_view kPrefix = "/v1/batches/";
  const std::string rest =
      request.path.starts_with(kPrefix) ? request.path.substr(kPrefix.size()) : std::string();
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string::npos || slash == 0) {
    respondError(*responder, kNotFound, "not_found", "no such path");
    return;
  }
  const base::BatchId batch{credential.tenant.value + "/" + rest.substr(0, slash)};
  const std::string action = rest.substr(slash + 1);
  if (action == "samples" && request.method == "GET") {
    readSamples(request, batch, responder);
  } else if (action == "acknowledge" && request.method == "POST") {
    acknowledge(request, batch, responder);
  } else if (action == "tighten" && request.method == "POST") {
    tighten(request, batch, responder);
  } else {
    respondError(*responder, kNotFound, "not_found", "no such path");
  }
}

void TrainerApi::readSamples(const http::Request& request, const base::BatchId& batch,
                             const ResponderPointer& responder) {
  const auto number = [&](const std::string& name, std::uint32_t fallback) {
    constexpr std::size_t kMaximumDigits = 9;
    const std::string text = request.queryValue(name);
    const bool valid = !text.empty() && text.size() <= kMaximumDigits &&
                       text.find_first_not_of("0123456789") == std::string::npos;
    return valid ? static_cast<std::uint32_t>(std::stoul(text)) : fallback;
  };
  constexpr std::uint32_t kDefaultMaximum = 64;
  ledger::ReadSamples read;
  read.batch = batch;
  read.cursor = number("cursor", 0);
  read.maximum = number("max", kDefaultMaximum);
  daemon_.gateway()->callLedger(
      batch, transport::CommandKind::kQuery, base::encode(ledger::LedgerQuery{read}), daemon_.now(),
      [responder](const base::Bytes* result, base::TimePoint) {
        const auto decoded =
            result == nullptr ? std::nullopt : base::decode<ledger::ReadResult>(*result);
        if (!decoded) {
          respondError(*responder, kUnavailable, "ledger_unavailable", "the ledger did not answer",
                       Verdict::kNotRun, base::seconds(1));
          return;
        }
        if (decoded->status == ledger::LedgerStatus::kNotFound) {
          respondError(*responder, kNotFound, "not_found", "no such batch");
          return;
        }
        Json samples = Json::array();
        for (const ledger::SampleResult& sample : decoded->samples) {
          samples.push_back({{"index", sample.index},
                             {"token_ids", sample.tokens},
                             {"weights", spansJson(sample.spans)},
                             {"finish_reason", sample.finishReason}});
        }
        const bool expired = decoded->status == ledger::LedgerStatus::kExpired;
        responder->respond(expired ? kGone : kOk, jsonHeaders(),
                           Json{{"samples", std::move(samples)},
                                {"cursor", decoded->cursor},
                                {"committed", decoded->committed},
                                {"total", decoded->total}}
                               .dump());
      });
}

void TrainerApi::acknowledge(const http::Request& request, const base::BatchId& batch,
                             const ResponderPointer& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  JsonReader reader(body);
  ledger::AcknowledgeSamples command;
  command.batch = batch;
  command.cursor = static_cast<std::uint32_t>(reader.integer("cursor", 0, 0, kMaximumUnsigned32));
  if (!reader.firstProblem().empty()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstProblem());
    return;
  }
  sendToLedger(batch, command, responder);
}

void TrainerApi::tighten(const http::Request& request, const base::BatchId& batch,
                         const ResponderPointer& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  JsonReader reader(body);
  ledger::RaiseMinimumVersion command;
  command.batch = batch;
  command.minimumVersion = {
      static_cast<std::uint64_t>(reader.integer("minimum_version", 0, 0, kMaximumInteger))};
  if (!reader.firstProblem().empty()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstProblem());
    return;
  }
  sendToLedger(batch, command, responder);
}

void TrainerApi::sendToLedger(const base::BatchId& batch, const ledger::LedgerOperation& operation,
                              const ResponderPointer& responder) {
  daemon_.gateway()->callLedger(
      batch, transport::CommandKind::kCommand, base::encode(operation), daemon_.now(),
      [responder](const base::Bytes* result, base::TimePoint) {
        const auto decoded =
            result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
        if (!decoded) {
          respondError(*responder, kUnavailable, "ledger_unavailable",
                       "the ledger did not answer; resending is safe", Verdict::kMayHaveRun,
                       base::seconds(1));
          return;
        }
        const int status = statusOf(decoded->status);
        if (status == kOk) {
          const bool repeated = decoded->status == ledger::LedgerStatus::kAlreadyApplied;
          responder->respond(kAccepted, jsonHeaders(), Json{{"repeated", repeated}}.dump());
        } else {
          respondError(*responder, status, "refused", decoded->message);
        }
      });
}

void TrainerApi::publishWeights(const http::Request& request, const ResponderPointer& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  JsonReader reader(body);
  control::PublishWeights command;
  command.model = reader.requiredText("model");
  command.version = {static_cast<std::uint64_t>(reader.integer("version", 0, 1, kMaximumInteger))};
  if (!reader.firstProblem().empty() || !command.version.valid()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstProblem());
    return;
  }
  daemon_.gateway()->callControllers(
      transport::CommandKind::kCommand, base::encode(control::ControlCommand{{}, command}),
      daemon_.now(), [responder](const base::Bytes* result, base::TimePoint) {
        const auto outcome =
            result == nullptr ? std::nullopt : base::decode<control::ChangeOutcome>(*result);
        if (!outcome) {
          respondError(*responder, kUnavailable, "control_unavailable",
                       "no controller answered; resending is safe", Verdict::kMayHaveRun,
                       base::seconds(1));
        } else if (outcome->status == control::ChangeStatus::kAccepted ||
                   outcome->status == control::ChangeStatus::kUnchanged) {
          responder->respond(kAccepted, jsonHeaders(),
                             Json{{"revision", outcome->revision.value}}.dump());
        } else {
          respondError(*responder, kConflict, "refused", outcome->message);
        }
      });
}

}  // namespace tackpick::runtime
