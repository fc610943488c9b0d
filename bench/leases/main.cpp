/// \file
/// Measures the duration of lease requests and of queue plans at the ledgers' leader by number of
/// queued items and engines.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "jobs/item_leases.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr std::uint32_t kModels = 6;
constexpr std::uint32_t kItemsPerJob = 200;
constexpr std::uint32_t kTenants = 79;
constexpr std::uint32_t kSlots = 6;
constexpr std::uint32_t kSlotsPerGateway = 24;
constexpr std::uint32_t kCallsPerGateway = 40;
constexpr std::uint32_t kUnlimitedSlots = 1000000;

std::string modelName(std::uint32_t index) { return "model" + std::to_string(index % kModels); }

jobs::JobState makeState(std::uint32_t items) {
  jobs::JobState state;
  for (std::uint32_t first = 0; first < items; first += kItemsPerJob) {
    const std::uint32_t number = first / kItemsPerJob;
    jobs::SubmitJob submit;
    submit.job.id = "job" + std::to_string(number);
    submit.job.model = modelName(number);
    submit.job.minimumVersion = 1;
    submit.job.tenant = "tenant" + std::to_string(number % kTenants);
    submit.job.resultDeadline = base::seconds(10);
    for (std::uint32_t i = 0; i < kItemsPerJob && first + i < items; ++i) {
      submit.job.items.push_back({submit.job.id + "-" + std::to_string(i), "/", {}, "", "g", i});
    }
    (void)state.apply(1, jobs::encodeCommand(jobs::JobCommand{submit}));
  }
  return state;
}

std::vector<jobs::EngineInfo> makeEngines(std::uint32_t count, std::uint32_t zones) {
  std::vector<jobs::EngineInfo> engines;
  for (std::uint32_t i = 0; i < count; ++i) {
    engines.push_back({"engine" + std::to_string(i),
                       kSlots,
                       {{modelName(i), 1}},
                       "zone" + std::to_string(i / kModels % zones)});
  }
  return engines;
}

jobs::FreeSlots makeFreeSlots(std::uint32_t slotsPerModel) {
  jobs::FreeSlots freeSlots;
  for (std::uint32_t model = 0; model < kModels; ++model) {
    freeSlots.add(modelName(model), 1, slotsPerModel);
  }
  return freeSlots;
}

/// Returns the mean duration in microseconds of a request in which a gateway renews its leases and
/// asks for more items. Before each request the gateway's oldest item finishes and frees a slot.
double measure(std::uint32_t items, std::uint32_t engines) {
  constexpr std::uint32_t kZones = 5;
  const jobs::JobState state = makeState(items);
  base::TimePoint now{base::seconds(1)};
  jobs::ItemLeases leases(base::milliseconds(1500), base::milliseconds(5));
  leases.reset(1, now, base::Duration{0});
  for (const auto& [id, job] : state.jobs()) {
    leases.addJob(id, job, now);
  }
  leases.setEngines(makeEngines(engines, kZones));
  const std::uint32_t gateways = std::max(kZones, engines * kSlots / kSlotsPerGateway);
  const jobs::FreeSlots freeSlots = makeFreeSlots(kUnlimitedSlots);
  std::vector<std::vector<jobs::HeldItem>> held(gateways);
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t call = 0; call < gateways * kCallsPerGateway; ++call) {
    const std::uint32_t index = call % gateways;
    const base::NodeId gateway = base::makeNodeId(index + 1, 1);
    now += base::microseconds(126000 / gateways);
    std::vector<jobs::HeldItem>& heldItems = held[index];
    if (!heldItems.empty()) {
      heldItems.erase(heldItems.begin());
    }
    (void)leases.renew(gateway, heldItems, state, now);
    leases.release(gateway, heldItems, state);
    leases.onLeaseRequest(gateway, "zone" + std::to_string(index % kZones), true, now);
    for (const jobs::GrantedItem& granted : leases.lease(gateway, freeSlots, state, now)) {
      heldItems.push_back({granted.key, granted.engine});
    }
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / (gateways * kCallsPerGateway);
}

/// Duration of a plan in microseconds.
struct PlanCost {
  double mean = 0;
  double worst = 0;
};

/// Measures queue plans while all engine slots are leased, except the slots that about one percent
/// of the gateways release before each plan.
PlanCost measurePlans(std::uint32_t items, std::uint32_t engines, jobs::SchedulerPolicy policy) {
  constexpr std::uint32_t kPlans = 100;
  constexpr std::uint32_t kGatewaysPerRelease = 100;
  const std::uint32_t slots = engines * (kSlots + 1);
  const std::uint32_t gateways = slots / kSlotsPerGateway;
  const jobs::JobState state = makeState(items + slots);
  base::TimePoint now{base::seconds(1)};
  jobs::ItemLeases leases(base::seconds(1000), base::milliseconds(5), policy);
  leases.reset(1, now, base::Duration{0});
  for (const auto& [id, job] : state.jobs()) {
    leases.addJob(id, job, now);
  }
  leases.setEngines(makeEngines(engines, 1));
  const jobs::FreeSlots freeSlots = makeFreeSlots(kSlotsPerGateway / kModels);
  for (std::uint32_t number = 1; number <= gateways; ++number) {
    leases.onLeaseRequest(base::makeNodeId(number, 1), "zone0", true, now);
    (void)leases.lease(base::makeNodeId(number, 1), freeSlots, state, now);
  }
  PlanCost cost;
  std::uint32_t next = 0;
  for (std::uint32_t plan = 0; plan < kPlans; ++plan) {
    now += base::milliseconds(5);
    std::vector<base::NodeId> releasing;
    for (std::uint32_t i = 0; i <= gateways / kGatewaysPerRelease; ++i) {
      releasing.push_back(base::makeNodeId(next++ % gateways + 1, 1));
      leases.release(releasing.back(), {}, state);
    }
    const auto start = std::chrono::steady_clock::now();
    (void)leases.lease(releasing.front(), freeSlots, state, now);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    cost.mean += elapsed.count() / kPlans;
    cost.worst = std::max(cost.worst, elapsed.count());
    for (const base::NodeId gateway : releasing) {
      (void)leases.lease(gateway, freeSlots, state, now);
    }
  }
  return cost;
}

void printPlans(const char* name, jobs::SchedulerPolicy policy) {
  std::printf("\nmicroseconds per plan, %s: mean (worst)\n%8s %18s %18s %18s\n", name, "items",
              "100", "1000", "10000");
  for (const std::uint32_t items : {1000U, 10000U}) {
    std::printf("%8u", items);
    for (const std::uint32_t engines : {100U, 1000U, 10000U}) {
      const PlanCost cost = measurePlans(items, engines, policy);
      std::printf(" %8.0f (%7.0f)", cost.mean, cost.worst);
    }
    std::printf("\n");
  }
}

}  // namespace

int main() {
  std::printf("microseconds per lease request, plans included\n%8s %8s %8s %8s\n", "items", "30",
              "300", "3000");
  for (const std::uint32_t items : {100U, 1000U, 10000U}) {
    std::printf("%8u %8.1f %8.1f %8.1f\n", items, measure(items, 30), measure(items, 300),
                measure(items, 3000));
  }
  printPlans("oldest first", jobs::SchedulerPolicy::kOldestFirst);
  printPlans("by slack", jobs::SchedulerPolicy::kBySlack);
  return 0;
}
