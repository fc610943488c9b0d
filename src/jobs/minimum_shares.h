/// \file
/// A lower bound on the service that each of several competitors gets.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace tackpick::jobs {

/// Of those who wait, each is owed a part of every item that one of them is given. Who is owed a
/// whole item goes first; as long as nobody is, any other order holds. What is owed is bounded, so
/// that one who could not be served for a while does not displace the others later. Deterministic.
template <class Key>
class MinimumShares {
 public:
  /// `fraction`: the part that all together are guaranteed, shared alike.
  explicit MinimumShares(double fraction) : m_fraction(fraction) {}

  /// `key` waits from now on.
  void enter(const Key& key) {
    const auto place = find(key);
    if (place == m_due.end() || place->first != key) {
      m_due.emplace(place, key, m_clock + 1);
      m_earliest = std::min(m_earliest, m_clock + 1);
    }
  }
  /// `key` waits no more: what it was owed is void.
  void leave(const Key& key) {
    const auto found = find(key);
    if (found != m_due.end() && found->first == key) {
      m_due.erase(found);
    }
  }
  /// Those for whom `waits(key)` is false leave.
  template <class Predicate>
  void keepOnly(Predicate waits) {
    std::erase_if(m_due, [&](const auto& entry) { return !waits(entry.first); });
  }
  /// `key` was given an item.
  void charge(const Key& key) {
    if (m_due.empty()) {
      return;
    }
    const auto found = find(key);
    if (found != m_due.end() && found->first == key) {
      const double due = std::max(found->second, m_clock + 1 - kMaxCredit);
      found->second = std::min(m_clock, due) + 1;
    }
    m_clock += m_fraction / static_cast<double>(m_due.size());
  }
  /// Who is owed an item for longest; nothing when nobody is.
  [[nodiscard]] std::optional<Key> owed() {
    if (m_earliest > m_clock) {
      return std::nullopt;
    }
    const auto first = std::min_element(
        m_due.begin(), m_due.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_earliest = first == m_due.end() ? std::numeric_limits<double>::max() : first->second;
    return m_earliest > m_clock ? std::nullopt : std::optional(first->first);
  }

 private:
  /// Who waits, and the clock at which the next item is owed.
  using Dues = std::vector<std::pair<Key, double>>;

  /// Where `key` stands, or would.
  [[nodiscard]] typename Dues::iterator find(const Key& key) {
    return std::lower_bound(
        m_due.begin(), m_due.end(), key,
        [](const auto& entry, const Key& other) { return entry.first < other; });
  }

  /// Items.
  static constexpr double kMaxCredit = 8.0;

  double m_fraction;
  double m_clock = 0;  ///< items that each was owed since the beginning
  Dues m_due;          ///< sorted: a plan copies it, which is cheap
  /// No entry of `m_due` is below it; due times only rise.
  double m_earliest = std::numeric_limits<double>::max();
};

}  // namespace tackpick::jobs
