#include "runtime/trainer_api.h"

#include <algorithm>

#include "runtime/api_responses.h"
#include "runtime/daemon.h"
#include "telemetry/log.h"

namespace tackpick::runtime {
namespace {

using base::Verdict;

int httpStatusOf(ledger::LedgerStatus status) {
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
                        const ResponderPtr& responder) {
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/batches") {
    submitBatch(request, credential, responder);
  } else if (post && request.path == "/v1/weights") {
    publishWeights(request, responder);
  } else {
    routeBatchRequest(request, credential, responder);
  }
}

void TrainerApi::submitBatch(const http::Request& request,
                             const control::CredentialRecord& credential,
                             const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  ledger::SubmitBatch submission;
  submission.batch = {credential.tenant.value + "/" + reader.getRequiredString("batch")};
  submission.workload = {credential.tenant.value + "/" + reader.getRequiredString("workload")};
  const auto trainerVersion = reader.getInteger("trainer_version", 0, 0, kMaxInt64);
  for (const Json& item : reader.getArray("samples")) {
    JsonReader sample(item);
    ledger::SampleSpec specification;
    specification.index = static_cast<std::uint32_t>(submission.samples.size());
    specification.prompt = sample.getRequiredString("prompt");
    specification.seed = static_cast<std::uint64_t>(sample.getInteger("seed", 0, 0, kMaxInt64));
    specification.maximumTokens =
        static_cast<std::uint32_t>(sample.getInteger("max_tokens", 256, 1, kMaxUint32));
    reader.addError(sample.firstError());
    submission.samples.push_back(std::move(specification));
  }
  errorMessage = errorMessage.empty() ? reader.firstError() : errorMessage;
  const control::SettingsTree& tree = daemon_.gateway()->view().settings();
  if (errorMessage.empty() && tree.find(submission.workload.value) == nullptr) {
    errorMessage = "no workload " + submission.workload.value;
  }
  if (!errorMessage.empty()) {
    respondError(*responder, kBadRequest, "invalid", errorMessage);
    return;
  }
  submission.model = tree.text(submission.workload.value, control::SettingKey::kModel);
  const std::int64_t bound =
      tree.integer(submission.workload.value, control::SettingKey::kStalenessBound);
  submission.minimumVersion = {
      static_cast<std::uint64_t>(std::max<std::int64_t>(trainerVersion - bound, 0))};
  sendToLedger(submission.batch, submission, responder);
}

void TrainerApi::routeBatchRequest(const http::Request& request,
                                   const control::CredentialRecord& credential,
                                   const ResponderPtr& responder) {
  // The path is /v1/batches/NAME/ACTION. The tenant prefix prevents access to the batches of other
  // tenants.
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
    raiseMinVersion(request, batch, responder);
  } else {
    respondError(*responder, kNotFound, "not_found", "no such path");
  }
}

void TrainerApi::readSamples(const http::Request& request, const base::BatchId& batch,
                             const ResponderPtr& responder) {
  const auto queryUint = [&](const std::string& name, std::uint32_t fallback) {
    constexpr std::size_t kMaxDigits = 9;
    const std::string text = request.queryValue(name);
    const bool valid = !text.empty() && text.size() <= kMaxDigits &&
                       text.find_first_not_of("0123456789") == std::string::npos;
    return valid ? static_cast<std::uint32_t>(std::stoul(text)) : fallback;
  };
  constexpr std::uint32_t kDefaultMaxSamples = 64;
  ledger::ReadSamples read;
  read.batch = batch;
  read.cursor = queryUint("cursor", 0);
  read.maximum = queryUint("max", kDefaultMaxSamples);
  daemon_.gateway()->callLedger(
      batch, transport::CommandKind::kQuery, base::encode(ledger::LedgerQuery{read}), daemon_.now(),
      [responder](const base::Bytes* result, base::TimePoint) {
        const auto decoded =
            result == nullptr ? std::nullopt : base::decode<ledger::ReadResult>(*result);
        if (!decoded) {
          respondError(*responder, kUnavailable, "ledger_unavailable", "the ledger did not respond",
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
                             const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  ledger::AcknowledgeSamples command;
  command.batch = batch;
  command.cursor = static_cast<std::uint32_t>(reader.getInteger("cursor", 0, 0, kMaxUint32));
  if (!reader.firstError().empty()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstError());
    return;
  }
  sendToLedger(batch, command, responder);
}

void TrainerApi::raiseMinVersion(const http::Request& request, const base::BatchId& batch,
                                 const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  ledger::RaiseMinimumVersion command;
  command.batch = batch;
  command.minimumVersion = {
      static_cast<std::uint64_t>(reader.getInteger("minimum_version", 0, 0, kMaxInt64))};
  if (!reader.firstError().empty()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstError());
    return;
  }
  sendToLedger(batch, command, responder);
}

void TrainerApi::sendToLedger(const base::BatchId& batch, const ledger::LedgerOperation& operation,
                              const ResponderPtr& responder) {
  daemon_.gateway()->callLedger(
      batch, transport::CommandKind::kCommand, base::encode(operation), daemon_.now(),
      [responder](const base::Bytes* result, base::TimePoint) {
        const auto decoded =
            result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
        if (!decoded) {
          respondError(*responder, kUnavailable, "ledger_unavailable",
                       "the ledger did not respond; resending is safe", Verdict::kMayHaveRun,
                       base::seconds(1));
          return;
        }
        const int status = httpStatusOf(decoded->status);
        if (status == kOk) {
          const bool repeated = decoded->status == ledger::LedgerStatus::kAlreadyApplied;
          responder->respond(kAccepted, jsonHeaders(), Json{{"repeated", repeated}}.dump());
        } else {
          respondError(*responder, status, "refused", decoded->message);
        }
      });
}

void TrainerApi::publishWeights(const http::Request& request, const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  control::PublishWeights command;
  command.model = reader.getRequiredString("model");
  command.version = {static_cast<std::uint64_t>(reader.getInteger("version", 0, 1, kMaxInt64))};
  if (!reader.firstError().empty() || !command.version.valid()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstError());
    return;
  }
  daemon_.gateway()->callControllers(
      transport::CommandKind::kCommand, base::encode(control::ControlCommand{{}, command}),
      daemon_.now(), [responder](const base::Bytes* result, base::TimePoint) {
        const auto outcome =
            result == nullptr ? std::nullopt : base::decode<control::ChangeOutcome>(*result);
        if (!outcome) {
          respondError(*responder, kUnavailable, "control_unavailable",
                       "no controller responded; resending is safe", Verdict::kMayHaveRun,
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
