#include "runtime/caller_api.h"

#include <utility>

#include "runtime/api_responses.h"
#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

using base::Verdict;
using gateway::RejectionReason;

/// Maximum number of unsent bytes, above which the stream to a slow client is ended.
constexpr std::size_t kMaxUnsentBytes = 4U << 20U;

int httpStatusOf(RejectionReason reason) {
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

std::string detokenize(const std::vector<engine::Token>& tokens) {
  std::string text;
  for (const engine::Token token : tokens) {
    text += " t" + std::to_string(token);
  }
  return text;
}

Json completionJson(base::CallerId caller, const gateway::VersionedTokens& answer,
                    const std::string& finishReason) {
  return {{"id", "cmpl-" + std::to_string(caller.value)},
          {"object", "text_completion"},
          {"choices",
           {{{"index", 0},
             {"text", detokenize(answer.tokens)},
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

void CallerApi::handle(const http::Request& request, const ResponderPtr& responder) {
  if (!daemon_.gateway()->view().revision().valid()) {
    // Tokens cannot be checked before the first configuration arrives.
    respondError(*responder, kUnavailable, "no_lease", "this gateway has no configuration yet",
                 Verdict::kNotRun, base::seconds(1));
    return;
  }
  const auto credential = authenticate(request);
  if (!credential) {
    respondError(*responder, kUnauthorized, "unauthorized", "missing or unknown bearer token");
    return;
  }
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/completions") {
    createCompletion(request, *credential, responder);
    return;
  }
  const bool isTrainerPath =
      request.path.starts_with("/v1/batches") || request.path == "/v1/weights";
  if (!isTrainerPath) {
    respondError(*responder, kNotFound, "not_found", "no such path");
  } else if (credential->role == control::CredentialRole::kCaller) {
    respondError(*responder, kForbidden, "forbidden", "the token does not have the trainer role");
  } else {
    trainer_api_.handle(request, *credential, responder);
  }
}

void CallerApi::createCompletion(const http::Request& request,
                                 const control::CredentialRecord& credential,
                                 const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  gateway::CallerRequest callerRequest;
  callerRequest.id = {++m_lastRequestId};
  callerRequest.tenant = credential.tenant;
  callerRequest.workload = {credential.tenant.value + "/" + reader.getRequiredString("workload")};
  callerRequest.prompt = reader.getRequiredString("prompt");
  callerRequest.seed = static_cast<std::uint64_t>(reader.getInteger("seed", 0, 0, kMaxInt64));
  callerRequest.maximumTokens =
      static_cast<std::uint32_t>(reader.getInteger("max_tokens", 16, 1, kMaxUint32));
  constexpr std::int64_t kMaxMillis = 86'400'000;
  callerRequest.deadline = base::milliseconds(reader.getInteger("deadline_ms", 0, 0, kMaxMillis));
  callerRequest.stream = reader.getBool("stream", false);
  callerRequest.notRepeatable = reader.getBool("not_repeatable", false);
  callerRequest.key = {request.header("idempotency-key")};
  if (errorMessage.empty()) {
    errorMessage = reader.firstError();
  }
  if (!errorMessage.empty()) {
    respondError(*responder, kBadRequest, "invalid", errorMessage);
    return;
  }
  m_openRequests[callerRequest.id] = {responder, callerRequest.stream, false};
  responder->onClosed([this, id = callerRequest.id] {
    m_openRequests.erase(id);
    daemon_.gateway()->onCallerDisconnected(id, daemon_.now());
    daemon_.scheduleIteration();
  });
  daemon_.gateway()->onCallerRequest(callerRequest, daemon_.now());
}

void CallerApi::execute(const gateway::Action& action) {
  if (const auto* tokens = std::get_if<gateway::StreamTokens>(&action)) {
    execute(*tokens);
  } else if (const auto* answer = std::get_if<gateway::CompleteRequest>(&action)) {
    execute(*answer);
  } else if (const auto* replay = std::get_if<gateway::ReplayResponse>(&action)) {
    execute(*replay);
  } else if (const auto* rejection = std::get_if<gateway::RejectRequest>(&action)) {
    execute(*rejection);
  }
}

void CallerApi::execute(const gateway::StreamTokens& tokens) {
  const auto found = m_openRequests.find(tokens.caller);
  if (found == m_openRequests.end()) {
    return;
  }
  OpenRequest& openRequest = found->second;
  if (!openRequest.streamStarted) {
    openRequest.streamStarted = true;
    openRequest.responder->beginStream({});
  }
  if (openRequest.responder->unsentBytes() > kMaxUnsentBytes) {
    openRequest.responder->endStream();
    m_openRequests.erase(found);
    daemon_.gateway()->onCallerDisconnected(tokens.caller, daemon_.now());
    return;
  }
  // Formatted without the JSON library because this is the hot path of a stream.
  std::string event =
      "{\"object\":\"text_completion.chunk\",\"offset\":" + std::to_string(tokens.offset) +
      ",\"version\":" + std::to_string(tokens.version.value) +
      ",\"choices\":[{\"index\":0,\"text\":\"" + detokenize(tokens.tokens) + "\",\"token_ids\":[";
  for (std::size_t i = 0; i < tokens.tokens.size(); ++i) {
    event += (i == 0 ? "" : ",") + std::to_string(tokens.tokens[i]);
  }
  event += "]}]}";
  openRequest.responder->sendEvent(event);
}

void CallerApi::execute(const gateway::CompleteRequest& answer) {
  const auto found = m_openRequests.find(answer.caller);
  if (found == m_openRequests.end()) {
    return;
  }
  const OpenRequest openRequest = std::move(found->second);
  m_openRequests.erase(found);
  if (!openRequest.wantsStream) {
    openRequest.responder->respond(
        kOk, jsonHeaders(),
        completionJson(answer.caller, answer.answer, answer.finishReason).dump());
    return;
  }
  if (!openRequest.streamStarted) {
    openRequest.responder->beginStream({});
  }
  // The token count allows the client to check that it has received all tokens.
  openRequest.responder->sendEvent(Json{
      {"object", "text_completion.end"},
      {"finish_reason", answer.finishReason},
      {"completion_tokens", answer.answer.tokens.size()},
      {"weights",
       spansJson(answer.answer.spans)}}.dump());
  openRequest.responder->sendEvent("[DONE]");
  openRequest.responder->endStream();
}

void CallerApi::execute(const gateway::ReplayResponse& replay) {
  const auto answer = gateway::decodeResponse(replay.answer);
  const auto found = m_openRequests.find(replay.caller);
  if (!answer || found == m_openRequests.end()) {
    return;
  }
  gateway::CompleteRequest replayed = *answer;
  replayed.caller = replay.caller;
  if (found->second.wantsStream) {
    found->second.streamStarted = true;
    found->second.responder->beginStream({});
    execute(gateway::StreamTokens{replay.caller, 0, ledger::oldestVersion(replayed.answer.spans),
                                  replayed.answer.tokens});
  }
  execute(replayed);
}

void CallerApi::execute(const gateway::RejectRequest& rejection) {
  const auto found = m_openRequests.find(rejection.caller);
  if (found == m_openRequests.end()) {
    return;
  }
  const OpenRequest openRequest = std::move(found->second);
  m_openRequests.erase(found);
  const std::string reason(gateway::toString(rejection.reason));
  if (openRequest.streamStarted) {
    openRequest.responder->sendEvent(
        errorBody(reason, rejection.message, rejection.verdict, rejection.retryAfter));
    openRequest.responder->endStream();
    return;
  }
  respondError(*openRequest.responder, httpStatusOf(rejection.reason), reason, rejection.message,
               rejection.verdict, rejection.retryAfter);
}

}  // namespace tackpick::runtime
