/// \file
/// The replicated state of the controllers of a cluster that forms itself.
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

/// Whether a retiring machine still holds data.
enum class Retirement : std::uint8_t { kRunning, kCompleted };

/// Deterministic. Owned by the controllers' replica.
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
  /// The weights that instances held when that was last written, by instance and model.
  [[nodiscard]] const std::map<std::string, std::map<std::string, std::uint64_t>>& heldVersions()
      const {
    return data_.heldVersions;
  }
  /// The model that each engine follows, as that was last written.
  [[nodiscard]] const std::map<std::string, std::string>& assignments() const {
    return data_.assignments;
  }
  /// Who has noted that it gives orders, with the index of its newest note. The few latest holders
  /// are kept.
  using CommandLeaseClaims = std::map<base::NodeId, consensus::LogIndex>;
  [[nodiscard]] const CommandLeaseClaims& commandLeaseClaims() const {
    return data_.commandLeaseClaims;
  }
  /// True when that instance has said that it leaves for good, another has its address, or it has
  /// started again since.
  [[nodiscard]] bool hasLeft(const std::string& id) const {
    return left_.contains(id) || isSuperseded(id);
  }
  /// Key of the newest registered incarnation of the instance that `id` names; nothing when none
  /// is.
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
  /// Rises with every change.
  [[nodiscard]] std::uint64_t revision() const { return data_.revision; }

 private:
  struct Data {
    std::uint64_t revision = 0;
    Configuration configuration;
    std::map<std::string, InstanceRecord> instances;
    std::map<std::string, std::map<std::string, std::uint64_t>> heldVersions;
    std::map<std::string, std::string> assignments;
    std::deque<std::string> leftInOrder;
    std::map<std::string, std::uint64_t> versions;
    std::set<base::NodeId> initialLedgerVoters;
    std::map<std::string, Retirement> retirements;
    CommandLeaseClaims commandLeaseClaims;
    duties::UsageState usage;
    quarantine::QuarantineState quarantine;
    duties::CapacityState capacity;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, configuration, instances, heldVersions, assignments, leftInOrder, versions,
              initialLedgerVoters, retirements, commandLeaseClaims, usage, quarantine, capacity);
    }
  };

  void applyCommand(const ReplaceConfiguration& command);
  void applyCommand(const RegisterInstance& command);
  void applyCommand(const RemoveInstance& command);
  void applyCommand(const ForgetInstances& command);
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
  /// Whoever else has that address has ended.
  void displaceFrom(const InstanceRecord& record);
  /// Earlier incarnations of that instance have ended.
  void displaceEarlier(const InstanceRecord& record);
  /// True when a later incarnation of the same instance is registered.
  [[nodiscard]] bool isSuperseded(const std::string& id) const;
  /// Erases an instance that has ended: a heartbeat of it that was delayed must not bring it back.
  void end(const std::string& id);
  void erase(const std::string& id);
  void rememberLeft(const std::string& id);

  Data data_;
  /// Of data_.instances. With it a registration costs the same however many there are; comparing
  /// addresses one by one kept five controllers busy for minutes when 10,000 instances registered
  /// (11.8 s of a whole core each against 0.08 s).
  std::map<Address, std::string> m_idsByAddress;
  consensus::LogIndex applying_ = 0;  ///< index of the command that is applied
  std::set<std::string> left_;
};

}  // namespace tackpick::directory
