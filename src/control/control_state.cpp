#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::control {
namespace {

constexpr std::size_t kMaxPathLength = 200;

/// Whether the path is empty or consists of lower-case names joined by slashes.
bool isValidPath(const std::string& path) {
  if (path.size() > kMaxPathLength || path.starts_with('/') || path.ends_with('/') ||
      path.find("//") != std::string::npos) {
    return false;
  }
  return std::all_of(path.begin(), path.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '/';
  });
}

/// Appends the records that changed after `knownRevision`; a full delta contains no tombstones.
template <typename Map, typename Record>
void collectChanged(const Map& records, base::Revision knownRevision, bool full,
                    std::vector<Record>& changed) {
  for (const auto& entry : records) {
    const Record& record = entry.second;
    if constexpr (requires { record.removed; }) {
      if (full && record.removed) {
        continue;
      }
    }
    if (full || record.revision > knownRevision) {
      changed.push_back(record);
    }
  }
}

}  // namespace

base::Bytes ControlState::apply(consensus::LogIndex index, const base::Bytes& command) {
  const auto decoded = base::decode<ControlCommand>(command);
  if (!decoded) {
    return base::encode(rejectedOutcome(ChangeStatus::kInvalid, "unreadable command"));
  }
  return base::encode(applyOnce(base::Revision{index}, *decoded, command));
}

ChangeOutcome ControlState::applyOnce(base::Revision nextRevision, const ControlCommand& command,
                                      const base::Bytes& encoded) {
  const std::uint64_t hash = base::hashBytes(encoded);
  const auto known = m_data.requests.find(command.requestId);
  if (known != m_data.requests.end() && !limits_.mutants.forgetRequestIds) {
    if (known->second.operationHash == hash) {
      return known->second.outcome;
    }
    return rejectedOutcome(ChangeStatus::kRequestIdReused,
                           "request id " + command.requestId + " was used for another change");
  }
  ChangeOutcome outcome =
      std::visit([&](const auto& operation) { return applyOperation(nextRevision, operation); },
                 command.operation);
  // Only accepted changes are recorded, since a rejected one has no effect when repeated.
  if (!command.requestId.empty() && outcome.status == ChangeStatus::kAccepted) {
    recordRequest(command.requestId, hash, outcome);
  }
  return outcome;
}

ChangeOutcome ControlState::applyOperation(base::Revision nextRevision, const ApplyChange& change) {
  ChangeOutcome outcome;
  for (const NodeChange& node : change.changes) {
    if (std::string problem = validateNodeChange(node); !problem.empty()) {
      return rejectedOutcome(ChangeStatus::kInvalid, std::move(problem));
    }
    const SettingsNode* current = m_data.settings.find(node.path);
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
    outcome.revision = m_data.revision;
    outcome.message = "the node has changed since the expected revision";
    return outcome;
  }
  if (change.dryRun) {
    return rejectedOutcome(ChangeStatus::kUnchanged, "dry run: the change is valid");
  }
  for (const NodeChange& node : change.changes) {
    const SettingsNode changed = applyNodeChange(nextRevision, node);
    appendHistory(nextRevision, change.author, changed);
    m_data.settings.put(changed);
  }
  pruneTombstones();
  return acceptedOutcome(nextRevision);
}

std::string ControlState::validateNodeChange(const NodeChange& change) const {
  if (!isValidPath(change.path)) {
    return change.path + ": a path is lower-case names joined by slashes";
  }
  if (change.remove && (change.path.empty() || m_data.settings.hasChildren(change.path))) {
    return change.path + ": only a node without children can be removed";
  }
  for (const auto& [key, value] : change.set) {
    if (const auto problem = validateSetting(key, value)) {
      return change.path + ": " + *problem;
    }
  }
  return {};
}

SettingsNode ControlState::applyNodeChange(base::Revision nextRevision,
                                           const NodeChange& change) const {
  SettingsNode node;
  node.path = change.path;
  node.revision = nextRevision;
  node.removed = change.remove;
  if (change.remove) {
    return node;
  }
  const SettingsNode* current = m_data.settings.find(change.path);
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

ChangeOutcome ControlState::applyOperation(base::Revision nextRevision,
                                           const RegisterEngine& command) {
  EngineRecord record = command.record;
  record.revision = nextRevision;
  const auto known = m_data.engines.find(record.engine);
  if (known != m_data.engines.end()) {
    const EngineRecord& before = known->second;
    // The machine list is delayed and may be inconsistent: an older incarnation never replaces a
    // newer one, and an incarnation that was draining stays draining.
    if (record.incarnation < before.incarnation) {
      return rejectedOutcome(ChangeStatus::kUnchanged, "an older incarnation");
    }
    record.drained = before.drained;
    const bool sameIncarnation = record.incarnation == before.incarnation;
    record.draining = record.draining || (sameIncarnation && before.draining);
    const bool same = sameIncarnation && record.draining == before.draining &&
                      record.host == before.host && record.port == before.port &&
                      record.model == before.model && record.zone == before.zone &&
                      record.removed == before.removed;
    if (same) {
      return rejectedOutcome(ChangeStatus::kUnchanged, "already known");
    }
  }
  m_data.engines[record.engine] = record;
  return acceptedOutcome(nextRevision);
}

ChangeOutcome ControlState::applyOperation(base::Revision nextRevision,
                                           const DrainEngine& command) {
  const auto found = m_data.engines.find(command.engine);
  if (found == m_data.engines.end()) {
    return rejectedOutcome(ChangeStatus::kInvalid, "no such engine");
  }
  if (found->second.drained == command.drained) {
    return rejectedOutcome(ChangeStatus::kUnchanged, "already so");
  }
  found->second.drained = command.drained;
  found->second.revision = nextRevision;
  return acceptedOutcome(nextRevision);
}

ChangeOutcome ControlState::applyOperation(base::Revision nextRevision,
                                           const PublishWeights& command) {
  WeightsRecord& record = m_data.weights[command.model];
  if (command.version <= record.version) {
    const bool same = command.version == record.version;
    return rejectedOutcome(
        same ? ChangeStatus::kUnchanged : ChangeStatus::kInvalid,
        "version " + std::to_string(record.version.value) + " is already published");
  }
  record = {command.model, nextRevision, command.version};
  return acceptedOutcome(nextRevision);
}

ChangeOutcome ControlState::applyOperation(base::Revision nextRevision,
                                           const PutCredential& command) {
  constexpr std::size_t kHashLength = 64;
  if (command.record.tokenHash.size() != kHashLength) {
    return rejectedOutcome(ChangeStatus::kInvalid, "a token hash has 64 hexadecimal digits");
  }
  CredentialRecord record = command.record;
  record.revision = nextRevision;
  m_data.credentials[record.tokenHash] = record;
  return acceptedOutcome(nextRevision);
}

void ControlState::recordRequest(const std::string& id, std::uint64_t hash,
                                 const ChangeOutcome& outcome) {
  m_data.requests[id] = {id, hash, outcome};
  m_data.requestOrder.push_back(id);
  // Ids are removed in blocks, since erasing from the front of a vector is expensive.
  if (m_data.requestOrder.size() < limits_.retainedRequestIds * 2) {
    return;
  }
  const auto keepFrom =
      m_data.requestOrder.end() - static_cast<std::ptrdiff_t>(limits_.retainedRequestIds);
  for (auto it = m_data.requestOrder.begin(); it != keepFrom; ++it) {
    m_data.requests.erase(*it);
  }
  m_data.requestOrder.erase(m_data.requestOrder.begin(), keepFrom);
}

void ControlState::appendHistory(base::Revision nextRevision, const std::string& author,
                                 const SettingsNode& after) {
  HistoryEntry entry;
  entry.revision = nextRevision;
  entry.author = author;
  entry.path = after.path;
  entry.after = after.values;
  entry.removed = after.removed;
  if (const SettingsNode* before = m_data.settings.find(after.path)) {
    entry.before = before->values;
  }
  m_data.history.push_back(std::move(entry));
  if (m_data.history.size() >= limits_.retainedHistoryEntries * 2) {
    const auto dropped =
        static_cast<std::ptrdiff_t>(m_data.history.size() - limits_.retainedHistoryEntries);
    m_data.history.erase(m_data.history.begin(), m_data.history.begin() + dropped);
    m_data.historyTruncated = true;
  }
}

void ControlState::pruneTombstones() {
  std::vector<std::pair<base::Revision, std::string>> tombstones;
  for (const auto& [path, node] : m_data.settings.nodes()) {
    if (node.removed) {
      tombstones.emplace_back(node.revision, path);
    }
  }
  if (tombstones.size() <= limits_.retainedTombstones * 2) {
    return;
  }
  std::sort(tombstones.begin(), tombstones.end());
  tombstones.resize(tombstones.size() - limits_.retainedTombstones);
  for (const auto& [revision, path] : tombstones) {
    m_data.settings.erase(path);
    m_data.prunedRevision = std::max(m_data.prunedRevision, revision);
  }
}

ChangeOutcome ControlState::acceptedOutcome(base::Revision nextRevision) {
  m_data.revision = nextRevision;
  ChangeOutcome outcome;
  outcome.status = ChangeStatus::kAccepted;
  outcome.revision = nextRevision;
  return outcome;
}

ChangeOutcome ControlState::rejectedOutcome(ChangeStatus status, std::string message) const {
  ChangeOutcome outcome;
  outcome.status = status;
  outcome.revision = m_data.revision;
  outcome.message = std::move(message);
  return outcome;
}

ControlDelta ControlState::deltaSince(base::Revision knownRevision) const {
  ControlDelta delta;
  delta.full = !knownRevision.valid() || knownRevision < m_data.prunedRevision ||
               knownRevision > m_data.revision;
  delta.from = delta.full ? base::Revision{} : knownRevision;
  delta.to = m_data.revision;
  collectChanged(m_data.settings.nodes(), knownRevision, delta.full, delta.nodes);
  collectChanged(m_data.engines, knownRevision, delta.full, delta.engines);
  collectChanged(m_data.weights, knownRevision, delta.full, delta.weights);
  collectChanged(m_data.credentials, knownRevision, delta.full, delta.credentials);
  return delta;
}

base::Bytes ControlState::query(const base::Bytes& query) const {
  const auto decoded = base::decode<ControlQuery>(query);
  if (!decoded) {
    return {};
  }
  if (const auto* history = std::get_if<ReadHistory>(&*decoded)) {
    HistoryResult result;
    result.truncated = m_data.historyTruncated;
    std::copy_if(m_data.history.begin(), m_data.history.end(), std::back_inserter(result.entries),
                 [&](const HistoryEntry& entry) { return entry.revision > history->after; });
    return base::encode(result);
  }
  return base::encode(deltaSince(base::Revision{}));
}

base::Bytes ControlState::takeSnapshot() const { return base::encode(m_data); }

void ControlState::loadSnapshot(const base::Bytes& snapshot) {
  m_data = base::decode<SnapshotData>(snapshot).value_or(SnapshotData{});
}

}  // namespace tackpick::control
