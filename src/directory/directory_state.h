/// \file
/// Replicated state of the controllers of a self-formed cluster.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "consensus/state_machine.h"
#include "directory/directory_messages.h"
#include "duties/capacity_state.h"
#include "duties/usage_state.h"
#include "quarantine/quarantine_state.h"

namespace tackpick::directory {

/// State of the retirement of a ledger machine.
enum class Retirement : std::uint8_t { kRunning, kCompleted };

/// State machine of the controllers. Deterministic; owned by the controllers' replica.
class DirectoryState final : public consensus::StateMachine {
 public:
  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& /*query*/) const override { return {}; }
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  [[nodiscard]] const Configuration& configuration() const { return data_.configuration; }
  [[nodiscard]] const std::map<std::string, InstanceRecord>& instances() const {
    return data_.instances;
  }
  /// Returns the last recorded weights versions by instance and model.
  [[nodiscard]] const std::map<std::string, std::map<std::string, std::uint64_t>>& heldVersions()
      const {
    return data_.heldVersions;
  }
  /// Returns the last recorded engine assignments by instance.
  [[nodiscard]] const std::map<std::string, std::string>& assignments() const {
    return data_.assignments;
  }
  /// Log index of the latest lease claim by holder; only the most recent holders are kept.
  using CommandLeaseClaims = std::map<base::NodeId, consensus::LogIndex>;
  [[nodiscard]] const CommandLeaseClaims& commandLeaseClaims() const {
    return data_.commandLeaseClaims;
  }
  /// Whether the instance was deregistered permanently, an instance that started later registered
  /// at its address, or a newer incarnation is registered.
  [[nodiscard]] bool isDeregistered(const std::string& id) const {
    return m_deregistered.contains(id) || isSuperseded(id);
  }
  /// Returns the instance that is registered at the record's address, unless it is the record's
  /// own; std::nullopt if there is none.
  [[nodiscard]] std::optional<std::string> otherAtAddress(const InstanceRecord& record) const;
  /// Returns the key of the newest registered incarnation of the instance that `id` names;
  /// std::nullopt if none is registered.
  [[nodiscard]] std::optional<std::string> newestIncarnation(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, std::uint64_t>& versions() const {
    return data_.versions;
  }
  [[nodiscard]] const std::set<base::NodeId>& initialLedgerVoters() const {
    return data_.initialLedgerVoters;
  }
  [[nodiscard]] const std::map<std::string, Retirement>& retirements() const {
    return data_.retirements;
  }
  [[nodiscard]] const duties::UsageState& usage() const { return data_.usage; }
  [[nodiscard]] const duties::CapacityState& capacity() const { return data_.capacity; }
  [[nodiscard]] const quarantine::QuarantineState& quarantine() const { return data_.quarantine; }
  /// Returns the revision, which increases with every change.
  [[nodiscard]] std::uint64_t revision() const { return data_.revision; }

 private:
  struct Data {
    std::uint64_t revision = 0;
    Configuration configuration;
    std::map<std::string, InstanceRecord> instances;
    std::map<std::string, std::map<std::string, std::uint64_t>> heldVersions;
    std::map<std::string, std::string> assignments;
    std::deque<std::string> deregisteredOrder;
    std::map<std::string, std::uint64_t> versions;
    std::set<base::NodeId> initialLedgerVoters;
    std::map<std::string, Retirement> retirements;
    CommandLeaseClaims commandLeaseClaims;
    duties::UsageState usage;
    quarantine::QuarantineState quarantine;
    duties::CapacityState capacity;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, configuration, instances, heldVersions, assignments, deregisteredOrder,
              versions, initialLedgerVoters, retirements, commandLeaseClaims, usage, quarantine,
              capacity);
    }
  };

  void applyCommand(ReplaceConfiguration& command);
  void applyCommand(const RegisterInstance& command);
  void applyCommand(const RemoveInstance& command);
  void applyCommand(const ExpireInstances& command);
  void applyCommand(const PublishVersion& command);
  void applyCommand(const BootstrapLedgers& command);
  void applyCommand(const BeginRetirement& command);
  void applyCommand(const CompleteRetirement& command);
  void applyCommand(const RecordVersions& command);
  void applyCommand(const RecordAssignments& command);
  void applyCommand(const ClaimCommandLease& command);
  void applyCommand(const duties::StartUsageReporting& command) { data_.usage.apply(command); }
  void applyCommand(const duties::RecordUsage& command) { data_.usage.apply(command); }
  void applyCommand(const duties::FinalizeUsage& command) { data_.usage.apply(command); }
  void applyCommand(const duties::ConfirmUsage& command) { data_.usage.apply(command); }
  void applyCommand(const duties::RecordBaseline& command) { data_.capacity.apply(command); }
  void applyCommand(const duties::SetCapacity& command) { data_.capacity.apply(command); }
  void applyCommand(const duties::ConfirmCapacity& command) { data_.capacity.apply(command); }
  void applyCommand(const quarantine::HoldRequest& command) { data_.quarantine.apply(command); }
  void applyCommand(const quarantine::RecordTrial& command) { data_.quarantine.apply(command); }
  void applyCommand(const quarantine::ReleaseRequest& command) { data_.quarantine.apply(command); }

  using Address = std::pair<std::string, std::uint16_t>;

  [[nodiscard]] static Address addressOf(const InstanceRecord& record) {
    return {record.host, record.port};
  }
  /// Removes another instance from the record's address. Returns false if that one started later,
  /// so that the record is of an instance that has ended.
  bool takeAddress(const InstanceRecord& record);
  /// Deregisters older incarnations of the same instance.
  void removeOlderIncarnations(const InstanceRecord& record);
  /// Whether a newer incarnation of the same instance is registered.
  [[nodiscard]] bool isSuperseded(const std::string& id) const;
  /// Removes an instance permanently, so that a delayed heartbeat does not register it again.
  void deregister(const std::string& id);
  void erase(const std::string& id);
  void rememberDeregistered(const std::string& id);

  Data data_;
  /// Index of data_.instances, which makes the cost of a registration independent of the number of
  /// instances. Comparing all addresses took each controller 11.8 s of CPU time for the
  /// registration of 10,000 instances; the index takes 0.08 s.
  std::map<Address, std::string> m_idsByAddress;
  consensus::LogIndex m_applyingIndex = 0;  ///< index of the command being applied
  std::set<std::string> m_deregistered;
};

}  // namespace tackpick::directory
