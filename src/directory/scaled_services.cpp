#include "directory/scaled_services.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// Age after which reported open jobs are ignored.
constexpr base::Duration kMaxReportAge = base::seconds(2);

void count(const InstanceViewRef& instance, duties::RegisteredInstances& zone) {
  const InstanceRecord& record = *instance.record;
  if (record.draining) {
    ++(record.preemptible ? zone.preemptibleDraining : zone.onDemandDraining);
    return;
  }
  ++(record.preemptible ? zone.preemptible : zone.onDemand);
  zone.unresponsive += instance.unresponsive ? 1 : 0;
}

std::optional<duties::CapacityDemand> capacityDemand(
    const Service& service, const ReportedOpenJobs& reportedJobs,
    const std::map<std::string, double>& recentDemand, base::TimePoint now) {
  // Open jobs are reported only for services with models.
  const bool known = !service.models.empty() && reportedJobs.reportedAt &&
                     now - *reportedJobs.reportedAt < kMaxReportAge;
  if (!known) {
    return std::nullopt;
  }
  duties::CapacityDemand demand;
  demand.reportAge = now - *reportedJobs.reportedAt;
  for (const std::string& model : service.models) {
    const auto open = reportedJobs.openJobs.find(model);
    if (open != reportedJobs.openJobs.end() && !open->second.empty()) {
      demand.openJobs.insert(*open);
    }
    const auto recent = recentDemand.find(model);
    demand.recentEvents += recent == recentDemand.end() ? 0 : recent->second;
  }
  return demand;
}

void addInstances(const std::vector<InstanceViewRef>& instances, duties::ScaledService& service) {
  for (const InstanceViewRef& instance : instances) {
    if (instance.record->service != service.name) {
      continue;
    }
    count(instance, service.zones[instance.record->zone]);
    if (service.demand && !instance.record->draining && !instance.unresponsive) {
      service.demand->activeSlots += instance.record->slots;
    }
  }
}

}  // namespace

std::vector<duties::ScaledService> scaledServices(const DirectoryState& state,
                                                  const std::vector<InstanceViewRef>& instances,
                                                  const ReportedOpenJobs& reportedJobs,
                                                  const std::map<std::string, double>& recentDemand,
                                                  base::TimePoint now) {
  std::vector<duties::ScaledService> services;
  for (const Service& service : state.configuration().services) {
    if (!service.scaling) {
      continue;
    }
    duties::ScaledService& scaled = services.emplace_back();
    scaled.name = service.name;
    scaled.scaling = *service.scaling;
    scaled.slots = std::max(service.slots, 1U);
    scaled.demand = capacityDemand(service, reportedJobs, recentDemand, now);
    addInstances(instances, scaled);
  }
  return services;
}

}  // namespace tackpick::directory
