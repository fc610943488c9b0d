/// \file
/// Looks the keys of one sorted map up in another.
#pragma once

#include <map>

namespace tackpick::base {

/// Finds keys that are asked for in rising order by stepping through a map instead of searching it:
/// where all instances are walked, the maps that belong to them are joined on the way.
template <class Key, class Value>
class SortedCursor {
 public:
  explicit SortedCursor(const std::map<Key, Value>& map) : m_next(map.begin()), m_end(map.end()) {}

  /// The value of `key`, which is not below any asked for before; null when there is none.
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
