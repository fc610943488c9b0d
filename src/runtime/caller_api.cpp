#include "runtime/caller_api.h"

#include <limits>
#include <utility>

#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

using base::Verdict;
using gateway::RefusalReason;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::int64_t kMaximumInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaximumUnsigned32 = std::numeric_limits<std::uint32_t>::max();
/// A client that leaves more than this unread is cut off.
constexpr std::size_t kMaximumUnsentBytes = 4U << 20U;

const http::Headers& jsonHeaders() {
  static const http::Headers kHeaders = {{"Content-Type", "application/json"}};
  return kHeaders;
}

std::string errorBody(const std::string& reason, const std::string& message, Verdict verdict,
                      base::Duration retryAfter) {
  return Json{{"error",
               {{"reason", reason},
                {"message", message},
                {"verdict", std::string(base::toString(verdict))},
                {"retry_after_ms", retryAfter.count() / 1000}}}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

void respondError(http::Responder& responder, int status, const std::string& reason,
                  const std::string& message, Verdict verdict = Verdict::kNotRun,
                  base::Duration retryAfter = base::Duration{0}) {
  http::Headers headers = jsonHeaders();
  headers["X-Verdict"] = std::string(base::toString(verdict));
  if (retryAfter.count() > 0) {
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    const std::int64_t whole =
        (retryAfter.count() + kMicrosecondsPerSecond - 1) / kMicrosecondsPerSecond;
    headers["Retry-After"] = std::to_string(whole);
  }
  responder.respond(status, headers, errorBody(reason, message, verdict, retryAfter));
}

int statusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kInvalid:
      return kUnprocessable;
    case RefusalReason::kUnknownWorkload:
      return kNotFound;
    case RefusalReason::kRateLimited:
    case RefusalReason::kInFlightLimited:
      return kTooManyRequests;
    case RefusalReason::kOverloaded:
    case RefusalReason::kStopping:
    case RefusalReason::kNoLease:
    case RefusalReason::kLedgerUnavailable:
      return kUnavailable;
    case RefusalReason::kDeadline:
      return kGatewayTimeout;
    case RefusalReason::kAlreadyClaimed:
    case RefusalReason::kKeyReused:
      return kConflict;
    case RefusalReason::kEngineFailed:
      return kBadGateway;
  }
  return kUnavailable;
}

Json spansJson(const std::vector<ledger::VersionSpan>& spans) {
  Json list = Json::array();
  for (const ledger::VersionSpan& span : spans) {
    list.push_back({{"version", span.version.value}, {"first", span.first}, {"count", span.count}});
  }
  return list;
}

std::string textOf(const std::vector<engine::Token>& tokens) {
  std::string text;
  for (const engine::Token token : tokens) {
    text += " t" + std::to_string(token);
  }
  return text;
}

Json answerJson(base::CallerId caller, const gateway::LabelledTokens& answer,
                const std::string& finishReason) {
  return {{"id", "cmpl-" + std::to_string(caller.value)},
          {"object", "text_completion"},
          {"choices",
           {{{"index", 0},
             {"text", textOf(answer.tokens)},
             {"token_ids", answer.tokens},
             {"finish_reason", finishReason}}}},
          {"usage", {{"completion_tokens", answer.tokens.size()}}},
          {"weights", spansJson(answer.spans)}};
}

int statusOf(ledger::LedgerStatus status) {
  switch (status) {
    case ledger::LedgerStatus::kOk:
    case ledger::LedgerStatus::kAlreadyDone:
      return kOk;
    case ledger::LedgerStatus::kNotFound:
      return kNotFound;
    case ledger::LedgerStatus::kExpired:
      return kGone;
    case ledger::LedgerStatus::kConflict:
      return kConflict;
    case ledger::LedgerStatus::kTooOld:
    case ledger::LedgerStatus::kInvalid:
    case ledger::LedgerStatus::kRefused:
      return kUnprocessable;
  }
  return kUnprocessable;
}

}  // namespace

std::optional<control::CredentialRecord> CallerApi::authenticate(
    const http::Request& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = request.header("authorization");
  if (!header.starts_with(kScheme)) {
    return std::nullopt;
  }
  const std::string hash = transport::sha256Hex(header.substr(kScheme.size()));
  const control::CredentialRecord* record = daemon_.gateway()->view().credential(hash);
  return record == nullptr ? std::nullopt : std::optional(*record);
}

void CallerApi::handle(const http::Request& request, const ResponderPointer& responder) {
  if (!daemon_.gateway()->view().revision().valid()) {
    // Before the first configuration no token can be known: this says nothing about the token.
    respondError(*responder, kUnavailable, "no_lease", "this gateway has no configuration yet",
                 Verdict::kNotRun, base::seconds(1));
    return;
  }
  const auto credential = authenticate(request);
  if (!credential) {
    respondError(*responder, kUnauthorized, "unauthorized", "a known bearer token is needed");
    return;
  }
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/completions") {
    completions(request, *credential, responder);
    return;
  }
  const bool trainerPath = request.path.starts_with("/v1/batches") || request.path == "/v1/weights";
  if (!trainerPath) {
    respondError(*responder, kNotFound, "not_found", "no such path");
  } else if (credential->role == control::CredentialRole::kCaller) {
    respondError(*responder, kForbidden, "forbidden", "this token is not a trainer's");
  } else if (post && request.path == "/v1/batches") {
    submitBatch(request, *credential, responder);
  } else if (post && request.path == "/v1/weights") {
    publishWeights(request, responder);
  } else {
    batchPath(request, *credential, responder);
  }
}

void CallerApi::completions(const http::Request& request,
                            const control::CredentialRecord& credential,
                            const ResponderPointer& responder) {
  std::string problem;
  const Json body = base::recover([&] { return parseJson(request.body); },
                                  [&](const base::Error& error) {
                                    problem = error.message;
                                    return Json::object();
                                  });
  JsonReader reader(body);
  gateway::CallerRequest call;
  call.id = {++last_caller_};
  call.tenant = credential.tenant;
  call.workload = {credential.tenant.value + "/" + reader.requiredText("workload")};
  call.prompt = reader.requiredText("prompt");
  call.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, 0, kMaximumInteger));
  call.maximumTokens =
      static_cast<std::uint32_t>(reader.integer("max_tokens", 16, 1, kMaximumUnsigned32));
  constexpr std::int64_t kLongestMillis = 86'400'000;
  call.deadline = base::milliseconds(reader.integer("deadline_ms", 0, 0, kLongestMillis));
  call.stream = reader.flag("stream", false);
  call.notRepeatable = reader.flag("not_repeatable", false);
  call.key = {request.header("idempotency-key")};
  if (problem.empty()) {
    problem = reader.firstProblem();
  }
  if (!problem.empty()) {
    respondError(*responder, kBadRequest, "invalid", problem);
    return;
  }
  callers_[call.id] = {responder, call.stream, false};
  responder->onClosed([this, id = call.id] {
    callers_.erase(id);
    daemon_.gateway()->onCallerGone(id, daemon_.now());
    daemon_.wake();
  });
  daemon_.gateway()->onCallerRequest(call, daemon_.now());
}

void CallerApi::carryOut(const gateway::Action& action) {
  if (const auto* tokens = std::get_if<gateway::StreamTokens>(&action)) {
    carryOut(*tokens);
  } else if (const auto* answer = std::get_if<gateway::AnswerCaller>(&action)) {
    carryOut(*answer);
  } else if (const auto* repeat = std::get_if<gateway::RepeatAnswer>(&action)) {
    carryOut(*repeat);
  } else if (const auto* refusal = std::get_if<gateway::RefuseCaller>(&action)) {
    carryOut(*refusal);
  }
}

void CallerApi::carryOut(const gateway::StreamTokens& tokens) {
  const auto found = callers_.find(tokens.caller);
  if (found == callers_.end()) {
    return;
  }
  Caller& caller = found->second;
  if (!caller.streaming) {
    caller.streaming = true;
    caller.responder->beginStream({});
  }
  if (caller.responder->unsentBytes() > kMaximumUnsentBytes) {
    caller.responder->endStream();
    callers_.erase(found);
    daemon_.gateway()->onCallerGone(tokens.caller, daemon_.now());
    return;
  }
  // Written by hand: this is the hot path of a stream.
  std::string event =
      "{\"object\":\"text_completion.chunk\",\"offset\":" + std::to_string(tokens.offset) +
      ",\"version\":" + std::to_string(tokens.version.value) +
      ",\"choices\":[{\"index\":0,\"text\":\"" + textOf(tokens.tokens) + "\",\"token_ids\":[";
  for (std::size_t i = 0; i < tokens.tokens.size(); ++i) {
    event += (i == 0 ? "" : ",") + std::to_string(tokens.tokens[i]);
  }
  event += "]}]}";
  caller.responder->sendEvent(event);
}

void CallerApi::carryOut(const gateway::AnswerCaller& answer) {
  const auto found = callers_.find(answer.caller);
  if (found == callers_.end()) {
    return;
  }
  const Caller caller = std::move(found->second);
  callers_.erase(found);
  if (!caller.stream) {
    caller.responder->respond(kOk, jsonHeaders(),
                              answerJson(answer.caller, answer.answer, answer.finishReason).dump());
    return;
  }
  if (!caller.streaming) {
    caller.responder->beginStream({});
  }
  // The count lets the client check that it has everything.
  caller.responder->sendEvent(Json{{"object", "text_completion.end"},
                                   {"finish_reason", answer.finishReason},
                                   {"completion_tokens", answer.answer.tokens.size()},
                                   {"weights", spansJson(answer.answer.spans)}}
                                  .dump());
  caller.responder->sendEvent("[DONE]");
  caller.responder->endStream();
}

void CallerApi::carryOut(const gateway::RepeatAnswer& repeat) {
  const auto answer = gateway::decodeAnswer(repeat.answer);
  const auto found = callers_.find(repeat.caller);
  if (!answer || found == callers_.end()) {
    return;
  }
  gateway::AnswerCaller again = *answer;
  again.caller = repeat.caller;
  if (found->second.stream) {
    found->second.streaming = true;
    found->second.responder->beginStream({});
    carryOut(gateway::StreamTokens{repeat.caller, 0, ledger::oldestVersion(again.answer.spans),
                                   again.answer.tokens});
  }
  carryOut(again);
}

void CallerApi::carryOut(const gateway::RefuseCaller& refusal) {
  const auto found = callers_.find(refusal.caller);
  if (found == callers_.end()) {
    return;
  }
  const Caller caller = std::move(found->second);
  callers_.erase(found);
  const std::string reason(gateway::toString(refusal.reason));
  if (caller.streaming) {
    caller.responder->sendEvent(
        errorBody(reason, refusal.message, refusal.verdict, refusal.retryAfter));
    caller.responder->endStream();
    return;
  }
  respondError(*caller.responder, statusOf(refusal.reason), reason, refusal.message,
               refusal.verdict, refusal.retryAfter);
}

void CallerApi::submitBatch(const http::Request& request,
                            const control::CredentialRecord& credential,
                            const ResponderPointer& responder) {
  std::string problem;
  const Json body = base::recover([&] { return parseJson(request.body); },
                                  [&](const base::Error& error) {
                                    problem = error.message;
                                    return Json::object();
                                  });
  JsonReader reader(body);
  ledger::SubmitBatch submission;
  submission.batch = {credential.tenant.value + "/" + reader.requiredText("batch")};
  submission.workload = {credential.tenant.value + "/" + reader.requiredText("workload")};
  const auto trainerVersion = reader.integer("trainer_version", 0, 0, kMaximumInteger);
  for (const Json& item : reader.array("samples")) {
    JsonReader sample(item);
    ledger::SampleSpecification specification;
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

void CallerApi::batchPath(const http::Request& request, const control::CredentialRecord& credential,
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

void CallerApi::readSamples(const http::Request& request, const base::BatchId& batch,
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

void CallerApi::acknowledge(const http::Request& request, const base::BatchId& batch,
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

void CallerApi::tighten(const http::Request& request, const base::BatchId& batch,
                        const ResponderPointer& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  JsonReader reader(body);
  ledger::TightenBatch command;
  command.batch = batch;
  command.minimumVersion = {
      static_cast<std::uint64_t>(reader.integer("minimum_version", 0, 0, kMaximumInteger))};
  if (!reader.firstProblem().empty()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstProblem());
    return;
  }
  sendToLedger(batch, command, responder);
}

void CallerApi::sendToLedger(const base::BatchId& batch, const ledger::LedgerOperation& operation,
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
          const bool repeated = decoded->status == ledger::LedgerStatus::kAlreadyDone;
          responder->respond(kAccepted, jsonHeaders(), Json{{"repeated", repeated}}.dump());
        } else {
          respondError(*responder, status, "refused", decoded->message);
        }
      });
}

void CallerApi::publishWeights(const http::Request& request, const ResponderPointer& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  JsonReader reader(body);
  control::PublishWeights command;
  command.model = reader.requiredText("model");
  command.version = {static_cast<std::uint64_t>(reader.integer("version", 0, 1, kMaximumInteger))};
  if (!reader.firstProblem().empty() || !command.version.valid()) {
    respondError(*responder, kBadRequest, "invalid", reader.firstProblem());
    return;
  }
  daemon_.gateway()->callControl(
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
