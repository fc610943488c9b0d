#include "jobs/item_run.h"

#include <charconv>

#include "base/utf8.h"

namespace tackpick::jobs {
namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

void StreamEventParser::feed(std::string_view bytes) {
  if (!m_malformed) {
    buffer_ += bytes;
  }
}

std::optional<StreamEvent> StreamEventParser::next() {
  constexpr std::string_view kEnd = "\n\n";
  const std::size_t end = buffer_.find(kEnd, m_searchedBytes);
  if (end == std::string::npos) {
    m_searchedBytes = buffer_.empty() ? 0 : buffer_.size() - 1;
    m_malformed = m_malformed || buffer_.size() > kMaxEventBytes;
    return std::nullopt;
  }
  m_searchedBytes = 0;
  std::string_view remaining = std::string_view(buffer_).substr(0, end);
  m_malformed = m_malformed || !base::isValidUtf8(remaining);
  if (m_malformed) {
    return std::nullopt;
  }
  StreamEvent event;
  bool first = true;
  while (!remaining.empty()) {
    const std::string_view line = remaining.substr(0, remaining.find('\n'));
    remaining.remove_prefix(std::min(remaining.size(), line.size() + 1));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    if (name == "id") {
      event.id = parseNumber(value);
    } else if (name == version_field_) {
      event.version = parseNumber(value);
    } else if (name == "data") {
      event.data += first ? "" : "\n";
      event.data += value;
      first = false;
    }
  }
  buffer_.erase(0, end + kEnd.size());
  return event;
}

ItemRun::ItemRun(LeasedItem leased) : leased_(std::move(leased)) {
  if (!leased_.progress) {
    return;
  }
  auto text = leased_.progress->text.decompressedText();
  if (!text || !base::isValidUtf8(*text)) {
    leased_.progress.reset();  // the saved text is damaged; a new one is started
    m_restarted = true;
    return;
  }
  text_ = std::move(*text);
  versions_ = std::move(leased_.progress->versions);
  last_event_ = leased_.progress->point.event;
  m_saved = SavedPoint{leased_.progress->point, text_.size(), leased_.progress->textComplete};
  if (m_saved->textComplete) {
    m_textCompleteSince = base::TimePoint{};
  }
  leased_.progress.reset();
}

std::optional<ItemProgress> ItemRun::takeProgress(std::uint64_t minEvents) {
  if (!last_event_ || m_restarted) {
    return std::nullopt;
  }
  const std::uint64_t events = *last_event_ - (m_saved ? m_saved->point.event : 0);
  if (m_textCompleteSince ? m_saved && m_saved->textComplete : events < minEvents) {
    return std::nullopt;
  }
  ItemProgress progress;
  progress.item = leased_.key.item;
  progress.delta.point = {leased_.lease, *last_event_};
  progress.delta.versions = versions_;
  progress.delta.text =
      base::CompressedText(std::string_view(text_).substr(m_saved ? m_saved->bytes : 0));
  if (m_saved) {
    progress.after = m_saved->point;
  }
  progress.delta.textComplete = m_textCompleteSince.has_value();
  m_pending = SavedPoint{progress.delta.point, text_.size(), progress.delta.textComplete};
  saving_ = true;
  return progress;
}

void ItemRun::onProgressSaved(bool acknowledged) {
  saving_ = false;
  m_saved = acknowledged ? m_pending : std::nullopt;
}

bool ItemRun::isUnsavedFor(base::Duration delay, base::TimePoint now) const {
  const bool isSaved = m_saved && m_saved->textComplete;
  return m_textCompleteSince && !finished_ && !isSaved && !saving_ && !m_restarted &&
         now - *m_textCompleteSince >= delay;
}

bool ItemRun::accepts(std::uint64_t version) const {
  if (version < leased_.minimumVersion) {
    return false;
  }
  return !leased_.singleVersion || versions_.empty() || versions_.contains(version);
}

bool ItemRun::onHead(std::uint64_t version) {
  if (!accepts(version)) {
    if (leased_.singleVersion && version >= leased_.minimumVersion) {
      // A text of a single version cannot continue with another one.
      discardText();
    }
    return false;
  }
  run_version_ = version;
  return true;
}

void ItemRun::discardText() {
  text_.clear();
  last_event_.reset();
  versions_.clear();
  m_restarted = true;
}

bool ItemRun::onEvent(const StreamEvent& event) {
  if (!event.id || (last_event_ && *event.id != *last_event_ + 1)) {
    return false;
  }
  if (event.version) {
    run_version_ = *event.version;
  }
  if (!accepts(run_version_)) {
    return false;
  }
  text_ += last_event_ ? "\n" : "";
  text_ += event.data;
  last_event_ = event.id;
  versions_.insert(run_version_);
  return true;
}

ItemResult ItemRun::completed() const {
  ItemResult result{leased_.key.item, ItemState::kCompleted, base::CompressedText(text_), versions_,
                    score_};
  result.events = last_event_.value_or(0);
  return result;
}

ItemResult ItemRun::completedAfterSaved() const {
  if (!m_saved || m_restarted) {
    return completed();
  }
  const std::string_view added = std::string_view(text_).substr(m_saved->bytes);
  ItemResult result{leased_.key.item, ItemState::kCompleted, base::CompressedText(added), versions_,
                    score_};
  result.after = m_saved->point;
  result.events = last_event_.value_or(0);
  return result;
}

ItemResult ItemRun::terminated() const {
  return {leased_.key.item, ItemState::kTerminated, {}, {}};
}

bool ItemRun::onFailure() {
  ++failures_;
  return failures_ >= leased_.attempts;
}

bool ItemRun::isExpired(base::Duration sinceLease) const {
  return leased_.age + sinceLease > leased_.queueTimeout;
}

}  // namespace tackpick::jobs
