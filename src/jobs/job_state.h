/// \file
/// The replicated state of the ledgers: jobs, their items and results.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "consensus/state_machine.h"
#include "jobs/job_messages.h"

namespace tackpick::jobs {

struct Job {
  JobSubmission submission;
  consensus::LogIndex submittedAt = 0;           ///< of its submission in the log
  std::vector<ItemResult> results;               ///< by position; never changes once listed
  std::vector<bool> listed;                      ///< by item: it has a result
  std::map<std::uint32_t, PartialText> partial;  ///< texts under way, by item
  bool ended = false;

  /// Only its tenant may read, end or submit it again. To others it does not exist.
  [[nodiscard]] bool belongsTo(const std::string& tenant) const {
    return submission.tenant.empty() || submission.tenant == tenant;
  }
  [[nodiscard]] bool complete() const { return results.size() == submission.items.size(); }
  /// Nothing of it needs to run any more.
  [[nodiscard]] bool settled() const { return ended || complete(); }
  /// The item's whole text is kept: only its score is missing.
  [[nodiscard]] bool hasWholeText(std::uint32_t item) const {
    const auto kept = partial.find(item);
    return kept != partial.end() && kept->second.whole;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(submission, submittedAt, results, listed, partial, ended);
  }
};

/// A command as it stands in the log: compressed, since most of it are texts, of which every
/// replica keeps the latest in memory and on disk.
[[nodiscard]] base::Bytes encodeCommand(const JobCommand& command);

/// Deterministic. The first result for an item is listed at the next position of its job; later
/// ones change nothing. A result that follows a kept text counts only while that text is kept.
class JobState final : public consensus::StateMachine {
 public:
  using Jobs = std::map<std::string, Job>;  ///< by id

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& /*query*/) const override { return {}; }
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  [[nodiscard]] const Jobs& jobs() const { return jobs_; }
  /// All jobs in the order of their submission.
  [[nodiscard]] std::vector<const Jobs::value_type*> bySubmission() const;
  [[nodiscard]] const Job* find(const std::string& id) const;
  /// The job, unless it belongs to another tenant.
  [[nodiscard]] const Job* findFor(const std::string& tenant, const std::string& id) const;
  /// `results` without those that would change nothing.
  [[nodiscard]] CommitResults withoutKnown(const CommitResults& results) const;
  /// Rises with every change.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Rises whenever jobs were added.
  [[nodiscard]] std::uint64_t jobChanges() const { return job_changes_; }
  /// Rises whenever a job was added, ended or completed.
  [[nodiscard]] std::uint64_t workChanges() const { return m_workChanges; }

 private:
  void applyCommand(const SubmitJob& command, consensus::LogIndex index);
  void applyCommand(const EndJob& command, consensus::LogIndex index);
  void applyCommand(const CommitResults& command, consensus::LogIndex index);
  void applyCommand(const ForgetJobs& command, consensus::LogIndex index);
  void applyCommand(const SaveProgress& command, consensus::LogIndex index);

  Jobs jobs_;
  std::uint64_t revision_ = 0;
  std::uint64_t job_changes_ = 0;
  std::uint64_t m_workChanges = 0;
};

}  // namespace tackpick::jobs
