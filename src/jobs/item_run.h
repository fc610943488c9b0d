/// \file
/// A leased item at a gateway, and its text over one or more runs.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

/// Maximum size of a text. A page of results has at most 1 MB and contains complete texts.
inline constexpr std::size_t kMaxTextBytes = 1'000'000;
/// Maximum size of an event, whose data is a part of a text, with its field names and number.
inline constexpr std::size_t kMaxEventBytes = kMaxTextBytes + 1024;

/// One event of a stream of server-sent events.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string data;
  std::optional<std::uint64_t> version;  ///< set if the weights changed with this event
};

/// Parses server-sent events, which are UTF-8. Besides `id` and `data` it reads one
/// project-specific field with the version of the weights.
class StreamEventParser {
 public:
  explicit StreamEventParser(std::string versionField) : version_field_(std::move(versionField)) {}

  /// Adds received bytes. They are dropped once the stream is malformed.
  void feed(std::string_view bytes);
  /// Returns the next complete event; std::nullopt if there is none or the stream is malformed.
  [[nodiscard]] std::optional<StreamEvent> next();
  /// Whether an event was not UTF-8 or exceeds kMaxEventBytes. The stream cannot be used from that
  /// event on.
  [[nodiscard]] bool isMalformed() const { return m_malformed; }
  /// Whether an incomplete event is buffered.
  [[nodiscard]] bool hasPartialEvent() const { return !buffer_.empty(); }

 private:
  std::string version_field_;
  std::string buffer_;
  std::size_t m_searchedBytes = 0;  ///< length of the part of buffer_ without the end of an event
  bool m_malformed = false;
};

/// Collects the text of one item. If a run breaks, the next run continues after the last complete
/// event. Deterministic.
class ItemRun {
 public:
  explicit ItemRun(LeasedItem leased);

  [[nodiscard]] const LeasedItem& leased() const { return leased_; }
  /// Returns the id of the event after which the next run continues; std::nullopt before the first.
  [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return last_event_; }
  [[nodiscard]] std::size_t textBytes() const { return text_.size(); }

  /// Handles the response headers of a run with weights `version`. Returns false if that version
  /// must not be used for this text.
  [[nodiscard]] bool onHead(std::uint64_t version);
  /// Adds an event. Returns false if it does not follow the last one or its version must not be
  /// used.
  [[nodiscard]] bool onEvent(const StreamEvent& event);
  /// Whether the text would exceed kMaxTextBytes with the event.
  [[nodiscard]] bool exceedsMaxLength(const StreamEvent& event) const {
    return text_.size() + event.data.size() >= kMaxTextBytes;
  }
  /// Discards the text, so that the next run starts from the beginning.
  void discardText();
  /// Marks the text as complete; a score may still be missing.
  void onTextComplete(base::TimePoint now) { m_textCompleteSince = now; }
  [[nodiscard]] bool isTextComplete() const { return m_textCompleteSince.has_value(); }
  /// Marks the item as finished: its result is about to be committed and its text need not be
  /// saved.
  void onFinished() { finished_ = true; }
  [[nodiscard]] bool isFinished() const { return finished_; }
  /// Sets the score of this text.
  void onScore(std::string score) { score_ = std::move(score); }
  /// Returns the result with the complete text.
  [[nodiscard]] ItemResult completed() const;
  /// Returns the result with only the text that follows the saved part. Must not be called while
  /// isSaving().
  [[nodiscard]] ItemResult completedAfterSaved() const;
  [[nodiscard]] ItemResult terminated() const;
  /// Returns the text that is not yet saved; std::nullopt if it has fewer than `minEvents` events
  /// and is incomplete, or if there is nothing to save. onProgressSaved() must be called before the
  /// next call.
  [[nodiscard]] std::optional<ItemProgress> takeProgress(std::uint64_t minEvents);
  /// Handles the end of a save. `acknowledged`: the ledgers replied; otherwise it is unknown
  /// whether the text was saved.
  void onProgressSaved(bool acknowledged);
  /// Whether a save is in flight.
  [[nodiscard]] bool isSaving() const { return saving_; }
  /// Whether the complete text has been unsaved and without a score for `delay`.
  [[nodiscard]] bool isUnsavedFor(base::Duration delay, base::TimePoint now) const;
  /// Records a failure reported by the engine. Returns true if the item should be given up.
  [[nodiscard]] bool onFailure();
  /// Whether the item has exceeded its queue timeout and must not be retried.
  [[nodiscard]] bool isExpired(base::Duration sinceLease) const;

 private:
  [[nodiscard]] bool accepts(std::uint64_t version) const;

  LeasedItem leased_;
  std::string text_;
  /// Position up to which the text is saved.
  struct SavedPoint {
    ProgressPoint point;
    std::size_t bytes = 0;
    bool textComplete = false;
  };
  std::optional<SavedPoint> m_saved;
  std::optional<SavedPoint> m_pending;
  bool saving_ = false;
  bool m_restarted = false;  ///< the text does not continue the saved one
  std::optional<std::uint64_t> last_event_;
  std::set<std::uint64_t> versions_;
  std::uint64_t run_version_ = 0;
  std::uint32_t failures_ = 0;
  std::optional<base::TimePoint> m_textCompleteSince;
  std::string score_;
  bool finished_ = false;
};

}  // namespace tackpick::jobs
