/// \file
/// One leased item at a gateway: collects its text over one or more runs.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

/// One event of a stream of server-sent events.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string data;
  std::optional<std::uint64_t> version;  ///< the weights changed with this event
};

/// Takes server-sent events out of the bytes of an answer. Besides `id` and `data` it knows one
/// field of its own that carries the version of the weights.
class StreamEventParser {
 public:
  explicit StreamEventParser(std::string versionField) : version_field_(std::move(versionField)) {}

  /// Adds bytes; next() then returns the whole events in them.
  void feed(std::string_view bytes) { buffer_ += bytes; }
  [[nodiscard]] std::optional<StreamEvent> next();
  /// True when bytes of an unfinished event are left.
  [[nodiscard]] bool hasPartialEvent() const { return !buffer_.empty(); }

 private:
  std::string version_field_;
  std::string buffer_;
};

/// Deterministic. Text and position survive a broken run; the next run continues behind the last
/// whole event.
class ItemRun {
 public:
  explicit ItemRun(LeasedItem leased);

  [[nodiscard]] const LeasedItem& leased() const { return leased_; }
  /// The event after which the next run is to continue; nothing before the first.
  [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return last_event_; }
  [[nodiscard]] std::size_t textBytes() const { return text_.size(); }

  /// A run's answer begins, made by `version`. False when that version must not make this text.
  [[nodiscard]] bool onHead(std::uint64_t version);
  /// Adds an event. False when it does not follow the last one, or its version must not be used.
  [[nodiscard]] bool onEvent(const StreamEvent& event);
  /// The run ended whole; a score may still be missing.
  void onTextComplete(base::TimePoint now) { m_textCompleteSince = now; }
  [[nodiscard]] bool isTextComplete() const { return m_textCompleteSince.has_value(); }
  /// Nothing more is to be kept of the text: its result is about to be handed in.
  void onFinished() { finished_ = true; }
  [[nodiscard]] bool isFinished() const { return finished_; }
  /// The scorer's answer to this text.
  void onScore(std::string score) { score_ = std::move(score); }
  /// The result of a whole run.
  [[nodiscard]] ItemResult completed() const;
  /// The same without what the ledgers keep of the text. Not while isSaving().
  [[nodiscard]] ItemResult completedAfterSaved() const;
  [[nodiscard]] ItemResult terminated() const;
  /// What the ledgers do not keep of the text yet; nothing with fewer than `minEvents` of them,
  /// unless the text is whole. onProgressSaved() is to follow before the next offer.
  [[nodiscard]] std::optional<ItemProgress> offerProgress(std::uint64_t minEvents);
  /// The ledgers have taken what was offered, or it is not known whether they have.
  void onProgressSaved(bool known);
  /// An offer has no answer yet.
  [[nodiscard]] bool isSaving() const { return saving_; }
  /// The whole text has waited for its score for `delay`, and the ledgers do not keep it.
  [[nodiscard]] bool waitsUnkept(base::Duration delay, base::TimePoint now) const;
  /// The engine answered with a failure. True when the item is to be given up.
  [[nodiscard]] bool onFailure();
  /// True when the item is too old to be tried again.
  [[nodiscard]] bool isExpired(base::Duration sinceLease) const;

 private:
  [[nodiscard]] bool accepts(std::uint64_t version) const;

  LeasedItem leased_;
  std::string text_;
  /// How far the ledgers keep the text, and what was offered to them last.
  struct Kept {
    ProgressPoint point;
    std::size_t bytes = 0;
    bool whole = false;
  };
  std::optional<Kept> kept_;
  std::optional<Kept> offered_;
  bool saving_ = false;
  bool begun_anew_ = false;  ///< the text no longer begins as the kept one does
  std::optional<std::uint64_t> last_event_;
  std::set<std::uint64_t> versions_;
  std::uint64_t run_version_ = 0;
  std::uint32_t failures_ = 0;
  std::optional<base::TimePoint> m_textCompleteSince;
  std::string score_;
  bool finished_ = false;
};

}  // namespace tackpick::jobs
