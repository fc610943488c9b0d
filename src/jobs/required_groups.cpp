#include "jobs/required_groups.h"

#include <algorithm>
#include <map>

namespace tackpick::jobs {

RequiredGroups::RequiredGroups(const JobSubmission& job, const std::set<std::string>& resubmitted) {
  std::map<std::string, std::uint32_t> indices;
  m_groupOfItem.reserve(job.items.size());
  for (const Item& item : job.items) {
    const auto next = static_cast<std::uint32_t>(indices.size());
    const auto [index, added] = indices.emplace(item.group, next);
    if (added) {
      m_groups.push_back({0, resubmitted.contains(item.group)});
      m_remainingResubmitted += m_groups.back().resubmitted ? 1 : 0;
    }
    m_groupOfItem.push_back(index->second);
    ++m_groups[index->second].remainingItems;
  }
  m_remainingGroups = job.requiredGroups == 0
                          ? m_groups.size()
                          : std::min<std::size_t>(job.requiredGroups, m_groups.size());
}

void RequiredGroups::observe(const Job& job) {
  for (; m_observed < job.results.size(); ++m_observed) {
    Group& group = m_groups[m_groupOfItem[job.results[m_observed].item]];
    if (--group.remainingItems > 0) {
      continue;
    }
    m_remainingGroups -= m_remainingGroups > 0 ? 1 : 0;
    m_remainingResubmitted -= group.resubmitted ? 1 : 0;
  }
}

}  // namespace tackpick::jobs
