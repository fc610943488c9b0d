#include "jobs/item_leases.h"

#include <algorithm>
#include <numeric>

namespace tackpick::jobs {

void ItemLeases::reset(base::TimePoint now, base::Duration grace) {
  queue_.clear();
  leases_.clear();
  first_seen_.clear();
  leasing_from_ = now + grace;
}

void ItemLeases::addJob(const std::string& id, const Job& job, base::TimePoint now) {
  if (!first_seen_.try_emplace(id, now).second || job.settled()) {
    return;
  }
  std::vector<std::uint32_t> order(job.submission.items.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [&](std::uint32_t left, std::uint32_t right) {
    return job.submission.items[left].expectedTokens > job.submission.items[right].expectedTokens;
  });
  for (const std::uint32_t item : order) {
    const ItemKey key{id, item};
    if (!job.listed[item] && !leases_.contains(key)) {
      queue_.push_back(key);
    }
  }
}

bool ItemLeases::isOpen(const JobState& state, const ItemKey& key) {
  const Job* job = state.find(key.job);
  return job != nullptr && !job->settled() && key.item < job->listed.size() &&
         !job->listed[key.item];
}

void ItemLeases::refresh(const JobState& state, base::TimePoint now) {
  std::erase_if(queue_, [&](const ItemKey& key) { return !isOpen(state, key); });
  for (auto it = leases_.begin(); it != leases_.end();) {
    const bool open = isOpen(state, it->first);
    if (open && now < it->second.until) {
      ++it;
      continue;
    }
    if (open) {
      queue_.push_front(it->first);
    }
    it = leases_.erase(it);
  }
}

std::vector<ItemKey> ItemLeases::renew(base::NodeId gateway, const std::vector<ItemKey>& held,
                                       const JobState& state, base::TimePoint now) {
  std::vector<ItemKey> revoked;
  for (const ItemKey& key : held) {
    if (!isOpen(state, key)) {
      revoked.push_back(key);
      continue;
    }
    const auto [lease, added] = leases_.try_emplace(key, Lease{gateway, now + lease_time_});
    if (added) {
      std::erase(queue_, key);  // held since before this leader's time
    } else if (lease->second.gateway == gateway) {
      lease->second.until = now + lease_time_;
    } else {
      revoked.push_back(key);  // another runs it by now
    }
  }
  // What it was given and does not hold did not reach it, or was given back.
  for (auto& [key, lease] : leases_) {
    constexpr int kHalf = 2;
    const bool old = lease.until - now < lease_time_ / kHalf;
    if (lease.gateway == gateway && old && std::find(held.begin(), held.end(), key) == held.end()) {
      lease.until = now;
    }
  }
  return revoked;
}

std::vector<ItemKey> ItemLeases::lease(base::NodeId gateway, std::uint32_t wanted,
                                       const JobState& state, base::TimePoint now) {
  std::vector<ItemKey> leased;
  if (now < leasing_from_) {
    return leased;
  }
  while (leased.size() < wanted && !queue_.empty()) {
    const ItemKey key = queue_.front();
    queue_.pop_front();
    if (isOpen(state, key) && leases_.try_emplace(key, Lease{gateway, now + lease_time_}).second) {
      leased.push_back(key);
    }
  }
  return leased;
}

base::TimePoint ItemLeases::firstSeen(const std::string& job, base::TimePoint now) const {
  const auto found = first_seen_.find(job);
  return found == first_seen_.end() ? now : found->second;
}

}  // namespace tackpick::jobs
