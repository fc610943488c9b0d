/// \file
/// A lower bound on the service that each of several competitors gets.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

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
    if (m_due.try_emplace(key, m_clock + 1).second) {
      m_earliest = std::min(m_earliest, m_clock + 1);
    }
  }
  /// `key` waits no more: what it was owed is void.
  void leave(const Key& key) { m_due.erase(key); }
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
    const auto found = m_due.find(key);
    if (found != m_due.end()) {
      const double due = std::max(found->second, m_clock + 1 - kMostOwed);
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
  /// Items.
  static constexpr double kMostOwed = 8.0;

  double m_fraction;
  double m_clock = 0;  ///< items that each was owed since the beginning
  /// Clock at which the next item is owed.
  std::map<Key, double> m_due;
  /// No entry of `m_due` is below it; due times only rise.
  double m_earliest = std::numeric_limits<double>::max();
};

}  // namespace tackpick::jobs
