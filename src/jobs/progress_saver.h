/// \file
/// Saves the texts of long items at the ledgers while they run, so that after the loss of a gateway
/// or of all machines they continue from the saved text.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "jobs/item_run.h"
#include "jobs/ledger_client.h"

namespace tackpick::jobs {

/// Settings of a ProgressSaver.
struct ProgressSettings {
  base::Duration interval = base::milliseconds(700);
  /// Minimum number of new events of an incomplete text to be saved; most shorter texts complete
  /// before the next save.
  std::uint64_t minEvents = 8;
  /// Time after which a complete text is saved without its score. Most scores arrive sooner, and
  /// then text and score are committed in one call.
  base::Duration scoreTimeout = base::milliseconds(60);
  base::Duration callDeadline = base::seconds(2);
};

/// Periodically saves the texts of a gateway's items. At most one call is in flight. Deterministic;
/// owned by one thread.
class ProgressSaver {
 public:
  /// All items of the gateway, including finished ones whose results are not yet committed.
  using Runs = std::map<ItemKey, ItemRun*>;
  using RunSource = std::function<Runs()>;

  ProgressSaver(LedgerClient& ledgers, RunSource runs, ProgressSettings settings)
      : m_ledgers(ledgers), m_runs(std::move(runs)), m_settings(settings) {}

  void tick(base::TimePoint now);
  /// Saves all unsaved text, then calls `done`, also if the save failed.
  void flush(base::TimePoint now, std::function<void()> done);
  /// Returns the number of saves that the ledgers acknowledged, counted by item.
  [[nodiscard]] std::uint64_t savedTexts() const { return m_savedTexts; }

 private:
  [[nodiscard]] bool hasUnsavedComplete(base::TimePoint now) const;
  [[nodiscard]] SaveProgress collect(std::uint64_t minEvents) const;
  void send(SaveProgress request, base::TimePoint now, std::function<void()> done);
  void onReply(const SaveProgress& request, bool acknowledged);

  LedgerClient& m_ledgers;
  RunSource m_runs;
  const ProgressSettings m_settings;
  bool m_saving = false;
  base::TimePoint m_savedAt{};
  std::uint64_t m_savedTexts = 0;
};

}  // namespace tackpick::jobs
