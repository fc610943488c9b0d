/// \file
/// Schedules the items of the oldest job first.
#pragma once

#include "jobs/job_scheduler.h"

namespace tackpick::jobs {

/// Used while all jobs belong to one tenant, model and priority. Deterministic.
class FifoScheduler final : public JobScheduler {
 public:
  void begin(const std::vector<SchedulableJob>& work) override {
    m_jobs = work.size();
    m_next = 0;
  }
  [[nodiscard]] std::optional<std::size_t> next() override {
    return m_next < m_jobs ? std::optional(m_next) : std::nullopt;
  }
  void onPlanned(std::size_t /*job*/, const Urgency& /*urgency*/) override {}
  void onExhausted(std::size_t job) override { m_next = job + 1; }
  void onLeased(const std::string& /*job*/) override {}

 private:
  std::size_t m_jobs = 0;
  std::size_t m_next = 0;
};

}  // namespace tackpick::jobs
