#include "jobs/item_leases.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace tackpick::jobs {

std::vector<std::uint32_t> leaseOrder(const JobSubmission& job,
                                      const std::set<std::string>& comesAgain) {
  std::map<std::string, std::uint32_t> longest;  // item of each group
  for (const Item& item : job.items) {
    longest[item.group] = std::max(longest[item.group], item.expectedTokens);
  }
  std::vector<std::pair<std::uint32_t, std::string>> ranked;
  for (const auto& [group, tokens] : longest) {
    if (!comesAgain.contains(group)) {
      ranked.emplace_back(tokens, group);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const std::size_t wanted = job.wantedGroups == 0 ? longest.size() : job.wantedGroups;
  const std::size_t spare = longest.size() - std::min(longest.size(), wanted);
  std::set<std::string> last;
  for (std::size_t i = 0; i < std::min(spare, ranked.size()); ++i) {
    last.insert(ranked[i].second);
  }
  const auto rank = [&](const Item& item) {
    if (comesAgain.contains(item.group)) {
      return 0;
    }
    return last.contains(item.group) ? 2 : 1;
  };
  std::vector<std::uint32_t> order(job.items.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [&](std::uint32_t left, std::uint32_t right) {
    const Item& one = job.items[left];
    const Item& other = job.items[right];
    return std::tuple(rank(one), other.expectedTokens) <
           std::tuple(rank(other), one.expectedTokens);
  });
  return order;
}

void ItemLeases::reset(std::uint64_t term, base::TimePoint now, base::Duration grace) {
  constexpr unsigned kTermShift = 32;
  last_number_ = term << kTermShift;
  queue_.clear();
  leases_.clear();
  affinity_.clear();
  first_seen_.clear();
  seen_items_.clear();
  leasing_from_ = now + grace;
}

void ItemLeases::addJob(const std::string& id, const Job& job, base::TimePoint now) {
  if (!first_seen_.try_emplace(id, now).second || job.settled()) {
    return;
  }
  std::set<std::string> comesAgain;
  for (const Item& item : job.submission.items) {
    if (!seen_items_.insert(item.id).second) {
      comesAgain.insert(item.group);
    }
  }
  for (const std::uint32_t item : leaseOrder(job.submission, comesAgain)) {
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

namespace {

bool holds(const std::vector<HeldItem>& held, const ItemKey& key) {
  return std::any_of(held.begin(), held.end(),
                     [&](const HeldItem& item) { return item.key == key; });
}

}  // namespace

std::vector<ItemKey> ItemLeases::renew(base::NodeId gateway, const std::vector<HeldItem>& held,
                                       const JobState& state, base::TimePoint now) {
  endLeasesOfFormerRuns(gateway, now);
  std::vector<ItemKey> revoked;
  for (const auto& [key, engine] : held) {
    if (!isOpen(state, key)) {
      revoked.push_back(key);
      continue;
    }
    const auto [lease, added] = leases_.try_emplace(key, Lease{gateway, now + lease_time_, engine});
    if (added) {
      std::erase(queue_, key);  // held since before this leader's time
    } else if (lease->second.gateway == gateway) {
      lease->second.until = now + lease_time_;
      lease->second.engine = engine;
    } else {
      revoked.push_back(key);  // another runs it by now
    }
  }
  // What it was given and does not hold did not reach it, or was given back.
  for (auto& [key, lease] : leases_) {
    constexpr int kHalf = 2;
    const bool old = lease.until - now < lease_time_ / kHalf;
    if (lease.gateway == gateway && old && !holds(held, key)) {
      lease.until = now;
    }
  }
  return revoked;
}

std::map<std::string, std::uint32_t> ItemLeases::itemsByEngine() const {
  std::map<std::string, std::uint32_t> items;
  for (const auto& [key, lease] : leases_) {
    if (!lease.engine.empty()) {
      ++items[lease.engine];
    }
  }
  return items;
}

void ItemLeases::endLeasesOfFormerRuns(base::NodeId gateway, base::TimePoint now) {
  for (auto& [key, lease] : leases_) {
    if (lease.gateway != gateway && base::nodeNumber(lease.gateway) == base::nodeNumber(gateway)) {
      lease.until = now;
    }
  }
}

void ItemLeases::onGatewayLost(std::uint32_t gatewayNumber, base::Duration grace,
                               base::TimePoint now) {
  affinity_.forget(gatewayNumber);
  for (auto& [key, lease] : leases_) {
    if (base::nodeNumber(lease.gateway) == gatewayNumber) {
      lease.until = std::min(lease.until, now + grace);
    }
  }
}

void ItemLeases::giveBack(base::NodeId gateway, const std::vector<HeldItem>& held) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    const bool kept = it->second.gateway != gateway || holds(held, it->first);
    if (kept) {
      ++it;
      continue;
    }
    queue_.push_front(it->first);
    it = leases_.erase(it);
  }
}

std::vector<GrantedItem> ItemLeases::lease(base::NodeId gateway, EngineRoom wanted,
                                           const JobState& state, base::TimePoint now) {
  std::vector<GrantedItem> leased;
  if (now < leasing_from_ || queue_.empty()) {
    return leased;
  }
  placement_.setLoads(itemsByEngine());
  std::deque<ItemKey> rest;
  for (ItemKey& key : queue_) {
    if (!isOpen(state, key)) {
      continue;
    }
    const Job& owner = *state.find(key.job);
    const JobSubmission& job = owner.submission;
    if (leases_.contains(key)) {
      continue;
    }
    if (owner.hasWholeText(key.item)) {
      // Needs no place at an engine.
      leases_.emplace(key, Lease{gateway, now + lease_time_, {}});
      leased.push_back({std::move(key), ++last_number_, {}});
      continue;
    }
    const std::string engine = placement_.place(job.model, job.minimumVersion);
    const bool noPlace = placement_.knowsEngines() && engine.empty();
    // What suits another gateway keeps its place, so that every gateway sees the same plan.
    const bool foreign =
        !engine.empty() && !affinity_.suits(gateway, placement_.zoneOf(engine), now);
    if (noPlace || foreign || !wanted.take(job.model, job.minimumVersion)) {
      rest.push_back(std::move(key));
      continue;
    }
    leases_.emplace(key, Lease{gateway, now + lease_time_, engine});
    leased.push_back({std::move(key), ++last_number_, engine});
  }
  queue_ = std::move(rest);
  return leased;
}

base::TimePoint ItemLeases::firstSeen(const std::string& job, base::TimePoint now) const {
  const auto found = first_seen_.find(job);
  return found == first_seen_.end() ? now : found->second;
}

}  // namespace tackpick::jobs
