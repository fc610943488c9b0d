/// \file
/// Hands the texts of long items to the ledgers while they run, so that the loss of a gateway, or
/// of every machine at once, does not make them begin anew.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "jobs/item_run.h"
#include "jobs/ledger_client.h"

namespace tackpick::jobs {

/// Knobs of ProgressSaver.
struct ProgressSettings {
  base::Duration interval = base::milliseconds(700);
  /// Items with fewer new events wait for the next interval: most of them are whole by then.
  std::uint64_t minEvents = 8;
  /// A whole text is kept when its score has not come for so long; most come sooner, and then the
  /// result is kept in one call.
  base::Duration scoreWait = base::milliseconds(60);
  base::Duration callDeadline = base::seconds(2);
};

/// Deterministic; owned by one thread. At most one call is under way.
class ProgressSaver {
 public:
  /// The items of this gateway, finished ones included until their results are taken.
  using Runs = std::map<ItemKey, ItemRun*>;
  using RunSource = std::function<Runs()>;

  ProgressSaver(LedgerClient& ledgers, RunSource runs, ProgressSettings settings)
      : m_ledgers(ledgers), m_runs(std::move(runs)), m_settings(settings) {}

  void tick(base::TimePoint now);
  /// Saves whatever is not kept yet, then calls `done`, also when that failed.
  void saveAll(base::TimePoint now, std::function<void()> done);
  /// Texts that the ledgers have taken.
  [[nodiscard]] std::uint64_t savedTexts() const { return m_savedTexts; }

 private:
  [[nodiscard]] bool anyWaitsForScore(base::TimePoint now) const;
  [[nodiscard]] SaveProgress collect(std::uint64_t minEvents) const;
  void send(SaveProgress request, base::TimePoint now, std::function<void()> done);
  void onReply(const SaveProgress& request, bool known);

  LedgerClient& m_ledgers;
  RunSource m_runs;
  const ProgressSettings m_settings;
  bool m_saving = false;
  base::TimePoint m_savedAt{};
  std::uint64_t m_savedTexts = 0;
};

}  // namespace tackpick::jobs
