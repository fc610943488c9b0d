#include "directory/directory_state.h"

#include <algorithm>
#include <cereal/types/deque.hpp>
#include <iterator>
#include <utility>

#include "directory/incarnation.h"

namespace tackpick::directory {
namespace {

/// Maximum number of deregistered instances that are remembered to reject late heartbeats, which
/// are late by seconds at most.
constexpr std::size_t kMaxDeregistered = 10'000;

}  // namespace

base::Bytes DirectoryState::apply(consensus::LogIndex index, const base::Bytes& command) {
  m_applyingIndex = index;
  auto decoded = base::decode<DirectoryCommand>(command);
  if (decoded) {
    std::visit([this](auto& typed) { applyCommand(typed); }, *decoded);
  }
  return {};
}

void DirectoryState::applyCommand(ReplaceConfiguration& command) {
  if (command.configuration.version > data_.configuration.version) {
    data_.configuration = std::move(command.configuration);
    ++data_.revision;
  }
}

void DirectoryState::applyCommand(const RegisterInstance& command) {
  const InstanceRecord& record = command.record;
  if (isDeregistered(record.id)) {
    return;
  }
  removeOlderIncarnations(record);
  if (!takeAddress(record)) {
    return;
  }
  const auto [known, added] = data_.instances.try_emplace(record.id);
  InstanceRecord& stored = known->second;
  const bool draining = record.draining || stored.draining;
  const bool preemptible = record.preemptible || stored.preemptible;
  const base::Duration timeToTermination = stored.timeToTermination > base::Duration{0}
                                               ? stored.timeToTermination
                                               : record.timeToTermination;
  if (!added) {
    m_idsByAddress.erase(addressOf(stored));
  }
  stored = record;
  stored.draining = draining;
  stored.preemptible = preemptible;
  stored.timeToTermination = timeToTermination;
  m_idsByAddress[addressOf(record)] = record.id;
  ++data_.revision;
}

std::optional<std::string> DirectoryState::otherAtAddress(const InstanceRecord& record) const {
  const auto holder = m_idsByAddress.find(addressOf(record));
  const bool isOther = holder != m_idsByAddress.end() && holder->second != record.id;
  return isOther ? std::optional(std::string(holder->second)) : std::nullopt;
}

bool DirectoryState::takeAddress(const InstanceRecord& record) {
  const std::optional<std::string> holder = otherAtAddress(record);
  if (!holder) {
    return true;
  }
  const std::string& former = *holder;
  const std::uint64_t formerStart = Incarnation::parse(former).startTime;
  const std::uint64_t start = Incarnation::parse(record.id).startTime;
  if (formerStart == 0 || start == 0) {
    // Either may be the one that runs. The former holder returns with its next heartbeats.
    erase(former);
    return true;
  }
  const bool startedBefore = start < formerStart;
  if (startedBefore) {
    rememberDeregistered(record.id);
  } else {
    deregister(former);
  }
  return !startedBefore;
}

void DirectoryState::removeOlderIncarnations(const InstanceRecord& record) {
  const std::string name = instanceName(record.id);
  std::vector<std::string> older;
  if (record.id != name && data_.instances.contains(name)) {
    older.push_back(name);
  }
  for (auto known = data_.instances.lower_bound(firstKey(name));
       known != data_.instances.end() && known->first < record.id; ++known) {
    older.push_back(known->first);
  }
  for (const std::string& id : older) {
    deregister(id);
  }
}

bool DirectoryState::isSuperseded(const std::string& id) const {
  const std::string first = firstKey(instanceName(id));
  const auto later = data_.instances.upper_bound(std::max(id, first));
  return later != data_.instances.end() && later->first.starts_with(first);
}

std::optional<std::string> DirectoryState::newestIncarnation(const std::string& id) const {
  const std::string name = instanceName(id);
  const auto end = data_.instances.lower_bound(endOfKeys(name));
  if (end != data_.instances.begin() && std::prev(end)->first.starts_with(firstKey(name))) {
    return std::prev(end)->first;
  }
  return data_.instances.contains(name) ? std::optional(name) : std::nullopt;
}

void DirectoryState::deregister(const std::string& id) {
  erase(id);
  rememberDeregistered(id);
}

void DirectoryState::erase(const std::string& id) {
  const auto known = data_.instances.find(id);
  if (known == data_.instances.end()) {
    return;
  }
  m_idsByAddress.erase(addressOf(known->second));
  data_.instances.erase(known);
  data_.heldVersions.erase(id);
  data_.assignments.erase(id);
}

void DirectoryState::applyCommand(const RemoveInstance& command) {
  erase(command.id);
  ++data_.revision;
  if (command.permanent) {
    rememberDeregistered(command.id);
  }
}

void DirectoryState::applyCommand(const ExpireInstances& command) {
  for (const std::string& id : command.ids) {
    erase(id);
  }
  ++data_.revision;
}

void DirectoryState::rememberDeregistered(const std::string& id) {
  if (!m_deregistered.insert(id).second) {
    return;
  }
  data_.deregisteredOrder.push_back(id);
  if (data_.deregisteredOrder.size() > kMaxDeregistered) {
    m_deregistered.erase(data_.deregisteredOrder.front());
    data_.deregisteredOrder.pop_front();
  }
}

void DirectoryState::applyCommand(const PublishVersion& command) {
  std::uint64_t& version = data_.versions[command.model];
  if (command.version > version) {
    version = command.version;
    ++data_.revision;
  }
}

void DirectoryState::applyCommand(const BootstrapLedgers& command) {
  if (data_.initialLedgerVoters.empty()) {
    data_.initialLedgerVoters = command.initialVoters;
    ++data_.revision;
  }
}

void DirectoryState::applyCommand(const BeginRetirement& command) {
  if (data_.retirements.try_emplace(command.name, Retirement::kRunning).second) {
    ++data_.revision;
  }
}

void DirectoryState::applyCommand(const CompleteRetirement& command) {
  data_.retirements[command.name] = Retirement::kCompleted;
  ++data_.revision;
}

void DirectoryState::applyCommand(const RecordVersions& command) {
  for (const HeldVersions& held : command.instances) {
    if (data_.instances.contains(held.id)) {
      data_.heldVersions[held.id] = held.versions;
    }
  }
}

void DirectoryState::applyCommand(const RecordAssignments& command) {
  for (const EngineAssignment& assignment : command.changed) {
    if (assignment.model.empty()) {
      data_.assignments.erase(assignment.id);
    } else if (data_.instances.contains(assignment.id)) {
      data_.assignments[assignment.id] = assignment.model;
    }
  }
}

void DirectoryState::applyCommand(const ClaimCommandLease& command) {
  constexpr std::size_t kMaxLeaseClaims = 16;
  data_.commandLeaseClaims[command.holder] = m_applyingIndex;
  if (data_.commandLeaseClaims.size() > kMaxLeaseClaims) {
    data_.commandLeaseClaims.erase(std::min_element(
        data_.commandLeaseClaims.begin(), data_.commandLeaseClaims.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
}

base::Bytes DirectoryState::takeSnapshot() const { return base::encode(data_); }

void DirectoryState::loadSnapshot(const base::Bytes& snapshot) {
  data_ = base::decode<Data>(snapshot).value_or(Data{});
  m_deregistered = {data_.deregisteredOrder.begin(), data_.deregisteredOrder.end()};
  m_idsByAddress.clear();
  for (const auto& [id, record] : data_.instances) {
    m_idsByAddress[addressOf(record)] = id;
  }
}

}  // namespace tackpick::directory
