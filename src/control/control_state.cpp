#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::control {
namespace {

constexpr std::size_t kMaximumPathLength = 200;

/// A path is empty or lower-case names joined by slashes.
bool isValidPath(const std::string& path) {
  if (path.size() > kMaximumPathLength || path.starts_with('/') || path.ends_with('/') ||
      path.find("//") != std::string::npos) {
    return false;
  }
  return std::all_of(path.begin(), path.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '/';
  });
}

/// Adds the records that changed after `have`; a full delta carries no tombstones.
template <typename Map, typename Record>
void collect(const Map& records, base::Revision have, bool full, std::vector<Record>& changed) {
  for (const auto& entry : records) {
    const Record& record = entry.second;
    if constexpr (requires { record.removed; }) {
      if (full && record.removed) {
        continue;
      }
    }
    if (full || record.revision > have) {
      changed.push_back(record);
    }
  }
}

}  // namespace

base::Bytes ControlState::apply(consensus::LogIndex index, const base::Bytes& command) {
  const auto decoded = base::decode<ControlCommand>(command);
  if (!decoded) {
    return base::encode(refused(ChangeStatus::kInvalid, "unreadable command"));
  }
  return base::encode(applyOnce(base::Revision{index}, *decoded, command));
}

ChangeOutcome ControlState::applyOnce(base::Revision next, const ControlCommand& command,
                                      const base::Bytes& encoded) {
  const std::uint64_t hash = base::hashBytes(encoded);
  const auto known = content_.requests.find(command.requestId);
  if (known != content_.requests.end() && !limits_.mutants.forgetRequestIds) {
    if (known->second.operationHash == hash) {
      return known->second.outcome;
    }
    return refused(ChangeStatus::kRequestIdReused,
                   "request id " + command.requestId + " was used for another change");
  }
  ChangeOutcome outcome = std::visit(
      [&](const auto& operation) { return applyOperation(next, operation); }, command.operation);
  // Only accepted changes are remembered: repeating a refused one changes nothing either.
  if (!command.requestId.empty() && outcome.status == ChangeStatus::kAccepted) {
    remember(command.requestId, hash, outcome);
  }
  return outcome;
}

ChangeOutcome ControlState::applyOperation(base::Revision next, const ApplyChange& change) {
  ChangeOutcome outcome;
  for (const NodeChange& node : change.changes) {
    if (std::string problem = checkNodeChange(node); !problem.empty()) {
      return refused(ChangeStatus::kInvalid, std::move(problem));
    }
    const SettingsNode* current = content_.settings.find(node.path);
    const base::Revision revision = current == nullptr ? base::Revision{} : current->revision;
    if (node.expectedRevision && *node.expectedRevision != revision &&
        !limits_.mutants.ignoreExpectedRevision) {
      outcome.conflicts.push_back(
          {node.path, revision,
           current == nullptr ? std::map<SettingKey, SettingValue>{} : current->values});
    }
  }
  if (!outcome.conflicts.empty()) {
    outcome.status = ChangeStatus::kConflict;
    outcome.revision = content_.revision;
    outcome.message = "the node has changed since the expected revision";
    return outcome;
  }
  if (change.dryRun) {
    return refused(ChangeStatus::kUnchanged, "dry run: the change is valid");
  }
  for (const NodeChange& node : change.changes) {
    const SettingsNode changed = changedNode(next, node);
    record(next, change.author, changed);
    content_.settings.put(changed);
  }
  pruneTombstones();
  return accepted(next);
}

std::string ControlState::checkNodeChange(const NodeChange& change) const {
  if (!isValidPath(change.path)) {
    return change.path + ": a path is lower-case names joined by slashes";
  }
  if (change.remove && (change.path.empty() || content_.settings.hasChildren(change.path))) {
    return change.path + ": only a node without children can be removed";
  }
  for (const auto& [key, value] : change.set) {
    if (const auto problem = validateSetting(key, value)) {
      return change.path + ": " + *problem;
    }
  }
  return {};
}

SettingsNode ControlState::changedNode(base::Revision next, const NodeChange& change) const {
  SettingsNode node;
  node.path = change.path;
  node.revision = next;
  node.removed = change.remove;
  if (change.remove) {
    return node;
  }
  const SettingsNode* current = content_.settings.find(change.path);
  if (current != nullptr && !change.replace) {
    node.values = current->values;
  }
  for (const auto& [key, value] : change.set) {
    node.values[key] = value;
  }
  for (const SettingKey key : change.unset) {
    node.values.erase(key);
  }
  return node;
}

ChangeOutcome ControlState::applyOperation(base::Revision next, const RegisterEngine& command) {
  EngineRecord record = command.record;
  record.revision = next;
  const auto known = content_.engines.find(record.engine);
  if (known != content_.engines.end()) {
    const EngineRecord& before = known->second;
    // The list lags and flaps: an older run never replaces a newer one, and a run that was once
    // draining stays so.
    if (record.incarnation < before.incarnation) {
      return refused(ChangeStatus::kUnchanged, "an older incarnation");
    }
    record.drained = before.drained;
    const bool sameRun = record.incarnation == before.incarnation;
    record.draining = record.draining || (sameRun && before.draining);
    const bool same = sameRun && record.draining == before.draining && record.host == before.host &&
                      record.port == before.port && record.model == before.model &&
                      record.zone == before.zone && record.removed == before.removed;
    if (same) {
      return refused(ChangeStatus::kUnchanged, "already known");
    }
  }
  content_.engines[record.engine] = record;
  return accepted(next);
}

ChangeOutcome ControlState::applyOperation(base::Revision next, const DrainEngine& command) {
  const auto found = content_.engines.find(command.engine);
  if (found == content_.engines.end()) {
    return refused(ChangeStatus::kInvalid, "no such engine");
  }
  if (found->second.drained == command.drained) {
    return refused(ChangeStatus::kUnchanged, "already so");
  }
  found->second.drained = command.drained;
  found->second.revision = next;
  return accepted(next);
}

ChangeOutcome ControlState::applyOperation(base::Revision next, const PublishWeights& command) {
  WeightsRecord& record = content_.weights[command.model];
  if (command.version <= record.version) {
    const bool same = command.version == record.version;
    return refused(same ? ChangeStatus::kUnchanged : ChangeStatus::kInvalid,
                   "version " + std::to_string(record.version.value) + " is already published");
  }
  record = {command.model, next, command.version};
  return accepted(next);
}

ChangeOutcome ControlState::applyOperation(base::Revision next, const PutCredential& command) {
  constexpr std::size_t kHashLength = 64;
  if (command.record.tokenHash.size() != kHashLength) {
    return refused(ChangeStatus::kInvalid, "a token hash has 64 hexadecimal digits");
  }
  CredentialRecord record = command.record;
  record.revision = next;
  content_.credentials[record.tokenHash] = record;
  return accepted(next);
}

void ControlState::remember(const std::string& id, std::uint64_t hash,
                            const ChangeOutcome& outcome) {
  content_.requests[id] = {id, hash, outcome};
  content_.requestOrder.push_back(id);
  // Forgetting in blocks keeps the cost of erasing from the front of a vector low.
  if (content_.requestOrder.size() < limits_.rememberedRequests * 2) {
    return;
  }
  const auto keepFrom =
      content_.requestOrder.end() - static_cast<std::ptrdiff_t>(limits_.rememberedRequests);
  for (auto it = content_.requestOrder.begin(); it != keepFrom; ++it) {
    content_.requests.erase(*it);
  }
  content_.requestOrder.erase(content_.requestOrder.begin(), keepFrom);
}

void ControlState::record(base::Revision next, const std::string& author,
                          const SettingsNode& after) {
  HistoryEntry entry;
  entry.revision = next;
  entry.author = author;
  entry.path = after.path;
  entry.after = after.values;
  entry.removed = after.removed;
  if (const SettingsNode* before = content_.settings.find(after.path)) {
    entry.before = before->values;
  }
  content_.history.push_back(std::move(entry));
  if (content_.history.size() >= limits_.historyEntries * 2) {
    const auto dropped =
        static_cast<std::ptrdiff_t>(content_.history.size() - limits_.historyEntries);
    content_.history.erase(content_.history.begin(), content_.history.begin() + dropped);
    content_.historyTruncated = true;
  }
}

void ControlState::pruneTombstones() {
  std::vector<std::pair<base::Revision, std::string>> tombstones;
  for (const auto& [path, node] : content_.settings.nodes()) {
    if (node.removed) {
      tombstones.emplace_back(node.revision, path);
    }
  }
  if (tombstones.size() <= limits_.tombstones * 2) {
    return;
  }
  std::sort(tombstones.begin(), tombstones.end());
  tombstones.resize(tombstones.size() - limits_.tombstones);
  for (const auto& [revision, path] : tombstones) {
    content_.settings.erase(path);
    content_.prunedRevision = std::max(content_.prunedRevision, revision);
  }
}

ChangeOutcome ControlState::accepted(base::Revision next) {
  content_.revision = next;
  ChangeOutcome outcome;
  outcome.status = ChangeStatus::kAccepted;
  outcome.revision = next;
  return outcome;
}

ChangeOutcome ControlState::refused(ChangeStatus status, std::string message) const {
  ChangeOutcome outcome;
  outcome.status = status;
  outcome.revision = content_.revision;
  outcome.message = std::move(message);
  return outcome;
}

ControlDelta ControlState::deltaSince(base::Revision have) const {
  ControlDelta delta;
  delta.full = !have.valid() || have < content_.prunedRevision || have > content_.revision;
  delta.from = delta.full ? base::Revision{} : have;
  delta.to = content_.revision;
  collect(content_.settings.nodes(), have, delta.full, delta.nodes);
  collect(content_.engines, have, delta.full, delta.engines);
  collect(content_.weights, have, delta.full, delta.weights);
  collect(content_.credentials, have, delta.full, delta.credentials);
  return delta;
}

base::Bytes ControlState::query(const base::Bytes& query) const {
  const auto decoded = base::decode<ControlQuery>(query);
  if (!decoded) {
    return {};
  }
  if (const auto* history = std::get_if<ReadHistory>(&*decoded)) {
    HistoryResult result;
    result.truncated = content_.historyTruncated;
    std::copy_if(content_.history.begin(), content_.history.end(),
                 std::back_inserter(result.entries),
                 [&](const HistoryEntry& entry) { return entry.revision > history->after; });
    return base::encode(result);
  }
  return base::encode(deltaSince(base::Revision{}));
}

base::Bytes ControlState::takeSnapshot() const { return base::encode(content_); }

void ControlState::loadSnapshot(const base::Bytes& snapshot) {
  content_ = base::decode<Content>(snapshot).value_or(Content{});
}

}  // namespace tackpick::control
