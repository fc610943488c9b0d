/// \file
/// Lookup of ascending keys in a sorted map.
#pragma once

#include <map>

namespace tackpick::base {

/// Looks up keys in ascending order by advancing an iterator instead of searching the map for each
/// key.
template <class Key, class Value>
class SortedCursor {
 public:
  explicit SortedCursor(const std::map<Key, Value>& map) : m_next(map.begin()), m_end(map.end()) {}

  /// Returns the value of `key`, or null if the map does not contain it. `key` must not be less
  /// than the key of an earlier call.
  [[nodiscard]] const Value* find(const Key& key) {
    while (m_next != m_end && m_next->first < key) {
      ++m_next;
    }
    return m_next != m_end && m_next->first == key ? &m_next->second : nullptr;
  }

 private:
  typename std::map<Key, Value>::const_iterator m_next;
  const typename std::map<Key, Value>::const_iterator m_end;
};

}  // namespace tackpick::base
