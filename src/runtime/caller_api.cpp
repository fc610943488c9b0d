#include "runtime/caller_api.h"

#include <utility>

#include "runtime/api_responses.h"
#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

using base::Verdict;
using gateway::RejectionReason;

/// A client that leaves more than this unread is cut off.
constexpr std::size_t kMaximumUnsentBytes = 4U << 20U;

int statusOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kInvalid:
      return kUnprocessable;
    case RejectionReason::kUnknownWorkload:
      return kNotFound;
    case RejectionReason::kRateLimited:
    case RejectionReason::kInFlightLimited:
      return kTooManyRequests;
    case RejectionReason::kOverloaded:
    case RejectionReason::kStopping:
    case RejectionReason::kNoLease:
    case RejectionReason::kLedgerUnavailable:
      return kUnavailable;
    case RejectionReason::kDeadline:
      return kGatewayTimeout;
    case RejectionReason::kAlreadyClaimed:
    case RejectionReason::kKeyReused:
      return kConflict;
    case RejectionReason::kEngineFailed:
      return kBadGateway;
  }
  return kUnavailable;
}

std::string textOf(const std::vector<engine::Token>& tokens) {
  std::string text;
  for (const engine::Token token : tokens) {
    text += " t" + std::to_string(token);
  }
  return text;
}

Json answerJson(base::CallerId caller, const gateway::VersionedTokens& answer,
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
  } else {
    trainer_api_.handle(request, *credential, responder);
  }
}

void CallerApi::completions(const http::Request& request,
                            const control::CredentialRecord& credential,
                            const ResponderPointer& responder) {
  std::string problem;
  const Json body = parseBody(request, problem);
  JsonReader reader(body);
  gateway::CallerRequest call;
  call.id = {++last_caller_};
  call.tenant = credential.tenant;
  call.workload = {credential.tenant.value + "/" + reader.requiredText("workload")};
  call.prompt = reader.requiredText("prompt");
  call.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, 0, kMaximumInteger));
  call.maximumTokens =
      static_cast<std::uint32_t>(reader.integer("max_tokens", 16, 1, kMaximumUnsigned32));
  constexpr std::int64_t kMaxMillis = 86'400'000;
  call.deadline = base::milliseconds(reader.integer("deadline_ms", 0, 0, kMaxMillis));
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
    daemon_.gateway()->onCallerDisconnected(id, daemon_.now());
    daemon_.wake();
  });
  daemon_.gateway()->onCallerRequest(call, daemon_.now());
}

void CallerApi::execute(const gateway::Action& action) {
  if (const auto* tokens = std::get_if<gateway::StreamTokens>(&action)) {
    execute(*tokens);
  } else if (const auto* answer = std::get_if<gateway::CompleteRequest>(&action)) {
    execute(*answer);
  } else if (const auto* repeat = std::get_if<gateway::ReplayResponse>(&action)) {
    execute(*repeat);
  } else if (const auto* refusal = std::get_if<gateway::RejectRequest>(&action)) {
    execute(*refusal);
  }
}

void CallerApi::execute(const gateway::StreamTokens& tokens) {
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
    daemon_.gateway()->onCallerDisconnected(tokens.caller, daemon_.now());
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

void CallerApi::execute(const gateway::CompleteRequest& answer) {
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

void CallerApi::execute(const gateway::ReplayResponse& repeat) {
  const auto answer = gateway::decodeResponse(repeat.answer);
  const auto found = callers_.find(repeat.caller);
  if (!answer || found == callers_.end()) {
    return;
  }
  gateway::CompleteRequest again = *answer;
  again.caller = repeat.caller;
  if (found->second.stream) {
    found->second.streaming = true;
    found->second.responder->beginStream({});
    execute(gateway::StreamTokens{repeat.caller, 0, ledger::oldestVersion(again.answer.spans),
                                  again.answer.tokens});
  }
  execute(again);
}

void CallerApi::execute(const gateway::RejectRequest& refusal) {
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

}  // namespace tackpick::runtime
