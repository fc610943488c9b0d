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
  consensus::LogIndex submittedAt = 0;  ///< log index of its submission
  std::vector<ItemResult> results;      ///< by position; a result never changes once it is listed
  std::vector<bool> hasResult;          ///< by item: whether it has a result
  std::map<std::uint32_t, PartialText> partial;  ///< saved texts of unfinished items, by item
  bool ended = false;

  /// Whether `tenant` may read, end or resubmit the job; true for every tenant if the job has none.
  [[nodiscard]] bool belongsTo(const std::string& tenant) const {
    return submission.tenant.empty() || submission.tenant == tenant;
  }
  [[nodiscard]] bool complete() const { return results.size() == submission.items.size(); }
  /// Whether no item of the job needs to run any more.
  [[nodiscard]] bool finished() const { return ended || complete(); }
  /// Whether the complete text of the item is saved and only its score is missing.
  [[nodiscard]] bool hasCompleteText(std::uint32_t item) const {
    const auto saved = partial.find(item);
    return saved != partial.end() && saved->second.textComplete;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(submission, submittedAt, results, hasResult, partial, ended);
  }
};

/// Returns the compressed encoding of a command for the log. Commands consist mostly of texts,
/// which every replica keeps in memory and on disk.
[[nodiscard]] base::Bytes encodeCommand(const JobCommand& command);

/// Jobs, items and results as a replicated state machine. The first result of an item is listed at
/// the next position of its job; later ones are ignored. A result that continues a saved text is
/// ignored unless that text is still saved. Deterministic.
class JobState final : public consensus::StateMachine {
 public:
  using Jobs = std::map<std::string, Job>;  ///< by id

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& /*query*/) const override { return {}; }
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  [[nodiscard]] const Jobs& jobs() const { return jobs_; }
  /// Returns all jobs in the order of their submission.
  [[nodiscard]] std::vector<const Jobs::value_type*> bySubmission() const;
  [[nodiscard]] const Job* find(const std::string& id) const;
  /// Returns the job if it belongs to `tenant`; null otherwise.
  [[nodiscard]] const Job* findOwned(const std::string& tenant, const std::string& id) const;
  /// Returns the entries of `results` for items without a result, in jobs that have not ended.
  [[nodiscard]] CommitResults newResultsOf(const CommitResults& results) const;
  /// Increases with each command and snapshot.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Increases whenever jobs are added.
  [[nodiscard]] std::uint64_t jobsRevision() const { return m_jobsRevision; }
  /// Increases whenever a job is added, ends or completes.
  [[nodiscard]] std::uint64_t workRevision() const { return m_workRevision; }
  /// Returns the memory of the items of all jobs.
  [[nodiscard]] std::size_t itemBytes() const { return m_itemBytes; }

 private:
  void applyCommand(SubmitJob& command, consensus::LogIndex index);
  void applyCommand(const EndJob& command, consensus::LogIndex index);
  void applyCommand(const CommitResults& command, consensus::LogIndex index);
  void applyCommand(const RemoveJobs& command, consensus::LogIndex index);
  void applyCommand(const SaveProgress& command, consensus::LogIndex index);
  void addResult(Job& job, ItemResult result);
  /// Clears all but the id of an item that need not run any more.
  void clearRequest(Item& item);

  Jobs jobs_;
  std::uint64_t revision_ = 0;
  std::uint64_t m_jobsRevision = 0;
  std::uint64_t m_workRevision = 0;
  std::size_t m_itemBytes = 0;
};

}  // namespace tackpick::jobs
