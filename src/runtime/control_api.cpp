#include "runtime/control_api.h"

#include <utility>

#include "runtime/api_responses.h"
#include "runtime/control_json.h"
#include "telemetry/log.h"
#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

using telemetry::EventId;
using telemetry::logEvent;

constexpr int kMisdirected = 421;

void respondControlError(http::Responder& responder, int status, const std::string& message) {
  responder.respond(status, jsonHeaders(), dumpJson({{"error", {{"message", message}}}}));
}

Json replicaJson(const consensus::Replica& replica) {
  static const std::vector<std::string> kStates = {"follower", "pre_candidate", "candidate",
                                                   "leader"};
  const consensus::RaftConsensus& raft = replica.raft();
  Json voters = Json::array();
  for (const base::NodeId node : raft.membership().voters) {
    voters.push_back(std::to_string(node.value));
  }
  Json learners = Json::array();
  for (const base::NodeId node : raft.membership().learners) {
    learners.push_back(std::to_string(node.value));
  }
  return {{"group", replica.group().value},
          {"state", kStates.at(static_cast<std::size_t>(raft.state()))},
          {"term", raft.currentTerm()},
          {"leader", std::to_string(raft.leader().value)},
          {"leader_node", base::nodeNumber(raft.leader())},
          {"commit_index", raft.commitIndex()},
          {"applied_index", replica.appliedIndex()},
          {"log_entries", raft.logLength()},
          {"voters", std::move(voters)},
          {"learners", std::move(learners)}};
}

}  // namespace

void ControlApi::handle(const http::Request& request, const ResponderPtr& responder) {
  if (!isOperator(request)) {
    respondControlError(*responder, kUnauthorized, "missing or unknown operator bearer token");
    return;
  }
  const bool post = request.method == "POST";
  const std::string& path = request.path;
  if (path == "/v1/control/status") {
    status(responder);
  } else if (path == "/v1/control/state") {
    state(responder);
  } else if (path == "/v1/control/history") {
    history(request, responder);
  } else if (post && path == "/v1/control/apply") {
    applyChange(request, responder);
  } else if (post && path == "/v1/control/drain") {
    drain(request, responder);
  } else if (post && path == "/v1/control/credentials") {
    putCredential(request, responder);
  } else if (post && path == "/v1/control/members") {
    changeMembership(request, responder);
  } else {
    respondControlError(*responder, kNotFound, "no such path");
  }
}

bool ControlApi::isOperator(const http::Request& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = request.header("authorization");
  if (!header.starts_with(kScheme)) {
    return false;
  }
  const std::string hash = transport::sha256Hex(header.substr(kScheme.size()));
  if (!daemon_.settings().operatorTokenHash.empty() &&
      transport::constantTimeEquals(hash, daemon_.settings().operatorTokenHash)) {
    return true;
  }
  const control::ControlDelta state = daemon_.controller()->state().deltaSince({});
  for (const control::CredentialRecord& record : state.credentials) {
    if (record.tokenHash == hash && record.role == control::CredentialRole::kOperator) {
      return true;
    }
  }
  return false;
}

void ControlApi::status(const ResponderPtr& responder) {
  control::Controller& controller = *daemon_.controller();
  Json gateways = Json::array();
  for (const auto& [node, lease] : controller.leases().leases()) {
    gateways.push_back({{"node", base::nodeNumber(node)},
                        {"revision", lease.acknowledged.value},
                        {"lease_ms", (lease.expiresAt - daemon_.now()).count() / 1000}});
  }
  Json rollout = Json::array();
  for (const auto& [model, record] : controller.state().weights()) {
    rollout.push_back({{"model", model},
                       {"version", record.version.value},
                       {"engines_active", controller.rollout().activeCount(model, record.version)},
                       {"engines", controller.state().engines().size()}});
  }
  Json ledgers = Json::array();
  for (const auto& ledger : daemon_.ledgers()) {
    ledgers.push_back(replicaJson(ledger->replica()));
  }
  responder->respond(kOk, jsonHeaders(),
                     Json{{"node", std::to_string(daemon_.self().value)},
                          {"control", replicaJson(controller.replica())},
                          {"revision", controller.state().revision().value},
                          {"can_read", controller.canRead(daemon_.now())},
                          {"gateways", std::move(gateways)},
                          {"weights", std::move(rollout)},
                          {"ledgers", std::move(ledgers)}}
                         .dump());
}

void ControlApi::state(const ResponderPtr& responder) {
  control::Controller& controller = *daemon_.controller();
  if (!controller.canRead(daemon_.now())) {
    respondNotLeader(responder);
    return;
  }
  responder->respond(kOk, jsonHeaders(), stateJson(controller.state().deltaSince({})).dump());
}

void ControlApi::history(const http::Request& request, const ResponderPtr& responder) {
  control::Controller& controller = *daemon_.controller();
  if (!controller.canRead(daemon_.now())) {
    respondNotLeader(responder);
    return;
  }
  const std::string after = request.queryValue("after");
  constexpr std::size_t kMaxDigits = 18;
  const bool valid = !after.empty() && after.size() <= kMaxDigits &&
                     after.find_first_not_of("0123456789") == std::string::npos;
  const control::ReadHistory query{base::Revision{valid ? std::stoull(after) : 0}};
  const auto result = base::decode<control::HistoryResult>(
      controller.state().query(base::encode(control::ControlQuery{query})));
  responder->respond(kOk, jsonHeaders(),
                     historyJson(result.value_or(control::HistoryResult{})).dump());
}

void ControlApi::applyChange(const http::Request& request, const ResponderPtr& responder) {
  std::string errorMessage;
  const auto command = base::recover([&] { return parseApplyRequest(request.body); },
                                     [&](const base::Error& error) {
                                       errorMessage = error.message;
                                       return control::ControlCommand{};
                                     });
  if (!errorMessage.empty()) {
    respondControlError(*responder, kBadRequest, errorMessage);
    return;
  }
  submit(command, responder);
}

void ControlApi::drain(const http::Request& request, const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  control::DrainEngine drain;
  drain.engine = {static_cast<std::uint64_t>(reader.getInteger("engine", 0, 1, kMaxInt64))};
  drain.drained = reader.getBool("drained", true);
  if (!reader.firstError().empty()) {
    respondControlError(*responder, kBadRequest, reader.firstError());
    return;
  }
  submit({reader.getString("request_id"), drain}, responder);
}

void ControlApi::putCredential(const http::Request& request, const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  control::PutCredential put;
  put.record.tokenHash = reader.getRequiredString("token_hash");
  put.record.tenant = {reader.getString("tenant")};
  put.record.removed = reader.getBool("removed", false);
  const std::string role = reader.getString("role", "caller");
  if (role == "trainer") {
    put.record.role = control::CredentialRole::kTrainer;
  } else if (role == "operator") {
    put.record.role = control::CredentialRole::kOperator;
  } else if (role != "caller") {
    reader.addError("role: expected caller, trainer or operator");
  }
  if (put.record.role != control::CredentialRole::kOperator && !put.record.tenant.valid()) {
    reader.addError("tenant: required for callers and trainers");
  }
  if (!reader.firstError().empty()) {
    respondControlError(*responder, kBadRequest, reader.firstError());
    return;
  }
  submit({reader.getString("request_id"), put}, responder);
}

void ControlApi::changeMembership(const http::Request& request, const ResponderPtr& responder) {
  std::string errorMessage;
  const Json body = parseBody(request, errorMessage);
  JsonReader reader(body);
  if (!errorMessage.empty()) {
    reader.addError(errorMessage);
  }
  const std::string node = reader.getRequiredString("node");
  const bool remove = reader.getBool("remove", false);
  constexpr std::size_t kMaxDigits = 19;
  const bool isNumeric =
      node.size() <= kMaxDigits && node.find_first_not_of("0123456789") == std::string::npos;
  if (!reader.firstError().empty() || !isNumeric || node.empty()) {
    respondControlError(*responder, kBadRequest,
                        "node: expected the node's identity as a decimal string");
    return;
  }
  consensus::RaftConsensus& raft = daemon_.controller()->replica().raft();
  const base::NodeId id{std::stoull(node)};
  const bool accepted =
      remove ? raft.removeMember(id, daemon_.now()) : raft.addMember(id, daemon_.now());
  if (!raft.isLeader()) {
    respondNotLeader(responder);
  } else if (accepted) {
    logEvent(EventId::kMembershipChanged, (remove ? "removed=" : "added=") + node);
    responder->respond(kOk, jsonHeaders(), R"({"status":"accepted"})");
  } else {
    respondControlError(*responder, kConflict, "another membership change is in progress");
  }
}

void ControlApi::submit(const control::ControlCommand& command, const ResponderPtr& responder) {
  const bool submitted = daemon_.controller()->submit(
      command, daemon_.now(), [responder](const control::ChangeOutcome* outcome) {
        if (outcome == nullptr) {
          respondControlError(
              *responder, kUnavailable,
              "leadership was lost: the change may or may not take effect; resend it "
              "with the same request_id");
          return;
        }
        const bool accepted = outcome->status == control::ChangeStatus::kAccepted;
        logEvent(accepted ? EventId::kChangeAccepted : EventId::kChangeRefused,
                 "revision=" + std::to_string(outcome->revision.value));
        int status = kOk;
        if (outcome->status == control::ChangeStatus::kConflict ||
            outcome->status == control::ChangeStatus::kRequestIdReused) {
          status = kConflict;
        } else if (outcome->status == control::ChangeStatus::kInvalid) {
          status = kBadRequest;
        }
        responder->respond(status, jsonHeaders(), outcomeJson(*outcome).dump());
      });
  if (!submitted) {
    respondNotLeader(responder);
  }
}

void ControlApi::respondNotLeader(const ResponderPtr& responder) {
  const base::NodeId leader = daemon_.controller()->replica().raft().leader();
  responder->respond(kMisdirected, jsonHeaders(),
                     Json{{"error", {{"message", "this controller does not lead"}}},
                          {"leader_node", base::nodeNumber(leader)}}
                         .dump());
}

}  // namespace tackpick::runtime
