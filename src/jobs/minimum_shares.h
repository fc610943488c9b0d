/// \file
/// Guarantees each of several competitors a minimum share of service.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace tackpick::jobs {

/// Guarantees minimum shares to waiting competitors. Every item that a competitor receives credits
/// every competitor with a fraction of an item. A competitor with a credit of one item must be
/// served next; if there is none, the caller may use any order. The credit is bounded, so that a
/// competitor that could not be served for some time does not block the other competitors later.
/// Deterministic.
template <class Key>
class MinimumShares {
 public:
  /// `fraction`: share of all items that is guaranteed, divided equally.
  explicit MinimumShares(double fraction) : m_fraction(fraction) {}

  /// Adds a waiting competitor.
  void add(const Key& key) {
    const auto position = find(key);
    if (position == m_dueTimes.end() || position->first != key) {
      m_dueTimes.emplace(position, key, m_clock + 1);
      m_earliestDue = std::min(m_earliestDue, m_clock + 1);
    }
  }
  /// Removes a competitor that no longer waits; its credit is lost.
  void remove(const Key& key) {
    const auto found = find(key);
    if (found != m_dueTimes.end() && found->first == key) {
      m_dueTimes.erase(found);
    }
  }
  /// Removes the competitors for which `isWaiting(key)` is false.
  template <class Predicate>
  void retainOnly(Predicate isWaiting) {
    std::erase_if(m_dueTimes, [&](const auto& entry) { return !isWaiting(entry.first); });
  }
  /// Records that `key` received an item.
  void charge(const Key& key) {
    if (m_dueTimes.empty()) {
      return;
    }
    const auto found = find(key);
    if (found != m_dueTimes.end() && found->first == key) {
      const double due = std::max(found->second, m_clock + 1 - kMaxCredit);
      found->second = std::min(m_clock, due) + 1;
    }
    m_clock += m_fraction / static_cast<double>(m_dueTimes.size());
  }
  /// Returns the competitor that has been owed an item longest; std::nullopt if none is owed one.
  [[nodiscard]] std::optional<Key> mostOverdue() {
    if (m_earliestDue > m_clock) {
      return std::nullopt;
    }
    const auto first = std::min_element(
        m_dueTimes.begin(), m_dueTimes.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_earliestDue = first == m_dueTimes.end() ? std::numeric_limits<double>::max() : first->second;
    return m_earliestDue > m_clock ? std::nullopt : std::optional(first->first);
  }

 private:
  /// Waiting competitors, and the clock value at which the next item of each is due.
  using DueTimes = std::vector<std::pair<Key, double>>;

  /// Returns the position of `key`, or the one at which it would be inserted.
  [[nodiscard]] typename DueTimes::iterator find(const Key& key) {
    return std::lower_bound(
        m_dueTimes.begin(), m_dueTimes.end(), key,
        [](const auto& entry, const Key& other) { return entry.first < other; });
  }

  /// Maximum credit in items.
  static constexpr double kMaxCredit = 8.0;

  double m_fraction;
  double m_clock = 0;   ///< number of items owed to each competitor so far
  DueTimes m_dueTimes;  ///< sorted vector, because each plan copies it
  /// Lower bound of all entries of `m_dueTimes`; due times only increase.
  double m_earliestDue = std::numeric_limits<double>::max();
};

}  // namespace tackpick::jobs
