#include "engine/prefix_cache.h"

namespace tackpick::engine {

std::size_t PrefixCache::lookupPrefix(const std::vector<std::uint64_t>& blocks) {
  std::size_t matched = 0;
  for (const std::uint64_t block : blocks) {
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) {
      break;
    }
    m_lru.splice(m_lru.begin(), m_lru, found->second);
    ++matched;
  }
  return matched;
}

void PrefixCache::store(const std::vector<std::uint64_t>& blocks, std::vector<CacheEvent>& events) {
  for (const std::uint64_t block : blocks) {
    if (blocks_.contains(block)) {
      continue;
    }
    m_lru.push_front(block);
    blocks_[block] = m_lru.begin();
    events.push_back({CacheEventKind::kStored, block});
    while (m_lru.size() > capacity_) {
      events.push_back({CacheEventKind::kEvicted, m_lru.back()});
      blocks_.erase(m_lru.back());
      m_lru.pop_back();
    }
  }
}

}  // namespace tackpick::engine
