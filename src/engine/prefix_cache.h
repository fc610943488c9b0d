/// \file
/// An engine's cache of prompt prefixes in limited memory.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace tackpick::engine {

enum class CacheEventKind : std::uint8_t { kStored, kEvicted };

/// What an engine publishes when its cache changes.
struct CacheEvent {
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t block = 0;
};

/// Least recently used blocks are evicted first.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// How many of the leading `blocks` are cached; touches them.
  std::size_t match(const std::vector<std::uint64_t>& blocks);
  /// Stores the blocks, evicting others as needed; appends what changed to `events`.
  void store(const std::vector<std::uint64_t>& blocks, std::vector<CacheEvent>& events);
  [[nodiscard]] std::size_t size() const { return order_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

}  // namespace tackpick::engine
