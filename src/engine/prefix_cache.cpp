#include "engine/prefix_cache.h"

namespace tackpick::engine {

std::size_t PrefixCache::match(const std::vector<std::uint64_t>& blocks) {
  std::size_t matched = 0;
  for (const std::uint64_t block : blocks) {
    const auto found = blocks_.find(block);
    if (found == blocks_.end()) {
      break;
    }
    order_.splice(order_.begin(), order_, found->second);
    ++matched;
  }
  return matched;
}

void PrefixCache::store(const std::vector<std::uint64_t>& blocks, std::vector<CacheEvent>& events) {
  for (const std::uint64_t block : blocks) {
    if (blocks_.contains(block)) {
      continue;
    }
    order_.push_front(block);
    blocks_[block] = order_.begin();
    events.push_back({CacheEventKind::kStored, block});
    while (order_.size() > capacity_) {
      events.push_back({CacheEventKind::kEvicted, order_.back()});
      blocks_.erase(order_.back());
      order_.pop_back();
    }
  }
}

}  // namespace tackpick::engine
