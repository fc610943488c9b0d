#include "jobs/lease_order.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace tackpick::jobs {

std::set<std::string> optionalGroups(const JobSubmission& job,
                                     const std::set<std::string>& resubmitted) {
  std::map<std::string, std::uint32_t> longest;  // largest estimate of each group
  for (const Item& item : job.items) {
    longest[item.group] = std::max(longest[item.group], item.expectedTokens);
  }
  std::vector<std::pair<std::uint32_t, std::string>> ranked;
  for (const auto& [group, tokens] : longest) {
    if (!resubmitted.contains(group)) {
      ranked.emplace_back(tokens, group);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const std::size_t required = job.requiredGroups == 0 ? longest.size() : job.requiredGroups;
  const std::size_t optionalCount = longest.size() - std::min(longest.size(), required);
  std::set<std::string> groups;
  for (std::size_t i = 0; i < std::min(optionalCount, ranked.size()); ++i) {
    groups.insert(ranked[i].second);
  }
  return groups;
}

ItemOrder itemOrderOf(const JobSubmission& job, const std::set<std::string>& resubmitted) {
  const std::set<std::string> optional = optionalGroups(job, resubmitted);
  ItemOrder order;
  for (const Item& item : job.items) {
    order.isOptional.push_back(optional.contains(item.group));
  }
  const auto rank = [&](std::uint32_t item) {
    if (resubmitted.contains(job.items[item].group)) {
      return 0;
    }
    return order.isOptional[item] ? 2 : 1;
  };
  order.items.resize(job.items.size());
  std::iota(order.items.begin(), order.items.end(), 0U);
  std::stable_sort(order.items.begin(), order.items.end(),
                   [&](std::uint32_t left, std::uint32_t right) {
                     return std::tuple(rank(left), job.items[right].expectedTokens) <
                            std::tuple(rank(right), job.items[left].expectedTokens);
                   });
  return order;
}

std::vector<std::uint32_t> leaseOrder(const JobSubmission& job,
                                      const std::set<std::string>& resubmitted) {
  return itemOrderOf(job, resubmitted).items;
}

}  // namespace tackpick::jobs
