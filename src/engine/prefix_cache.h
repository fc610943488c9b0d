/// \file
/// Prefix cache of an engine.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace tackpick::engine {

enum class CacheEventKind : std::uint8_t { kStored, kEvicted };

/// Change of the cache, published by the engine.
struct CacheEvent {
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t block = 0;
};

/// LRU cache of prompt blocks, identified by their hashes.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the number of leading `blocks` that are cached, and marks them as recently used.
  std::size_t lookupPrefix(const std::vector<std::uint64_t>& blocks);
  /// Stores the blocks and evicts others if the cache is full. Appends the changes to `events`.
  void store(const std::vector<std::uint64_t>& blocks, std::vector<CacheEvent>& events);
  [[nodiscard]] std::size_t size() const { return m_lru.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> m_lru;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace tackpick::engine
