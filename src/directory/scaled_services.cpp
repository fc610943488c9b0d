#include "directory/scaled_services.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// The ledgers' leader tells its open work twice a second; older figures decide nothing.
constexpr base::Duration kWorkLifetime = base::seconds(2);

void count(const InstanceViewRef& instance, duties::RegisteredInstances& zone) {
  const InstanceRecord& record = *instance.record;
  if (record.draining) {
    ++(record.preemptible ? zone.preemptibleDraining : zone.onDemandDraining);
    return;
  }
  ++(record.preemptible ? zone.preemptible : zone.onDemand);
  zone.unresponsive += instance.unresponsive ? 1 : 0;
}

std::optional<duties::CapacityDemand> demandOf(const Service& service, const ReportedOpenJobs& work,
                                               const std::map<std::string, double>& recentDemand,
                                               base::TimePoint now) {
  // What else a service runs is not told.
  const bool known =
      !service.models.empty() && work.reportedAt && now - *work.reportedAt < kWorkLifetime;
  if (!known) {
    return std::nullopt;
  }
  duties::CapacityDemand demand;
  demand.reportAge = now - *work.reportedAt;
  for (const std::string& model : service.models) {
    const auto open = work.works.find(model);
    if (open != work.works.end() && !open->second.empty()) {
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
                                                  const ReportedOpenJobs& work,
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
    scaled.demand = demandOf(service, work, recentDemand, now);
    addInstances(instances, scaled);
  }
  return services;
}

}  // namespace tackpick::directory
