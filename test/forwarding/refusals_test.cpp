/// Tests the distribution of rejections over tenants while all servers are full. Gateways do not
/// queue requests.
#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "forwarding/instance_table.h"
#include "forwarding/retry_policy.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace forwarding = tackpick::forwarding;

namespace {

/// A server that rejects requests above a limit of running and queued requests.
struct Server {
  std::vector<base::TimePoint> endTimes;
  std::size_t slots = 0;

  bool tryStart(base::TimePoint now, base::Duration work) {
    std::erase_if(endTimes, [&](base::TimePoint end) { return end <= now; });
    if (endTimes.size() >= slots) {
      return false;
    }
    endTimes.push_back(now + work);
    return true;
  }
};

struct RequestCounts {
  double sent = 0;
  double served = 0;
};

/// Servers, the gateway's table of them, and request counts by tenant.
struct OverloadedService {
  OverloadedService() {
    std::vector<directory::InstanceView> views;
    for (const char* id : {"a", "b", "c"}) {
      directory::InstanceView view;
      view.record = {id, "s", "10.0.0.1", 1, "z", kSlots, false};
      views.push_back(view);
      servers[id].slots = kSlots + 2;
    }
    table.replaceAll(views);
    route.kind = directory::RouteKind::kAtMostOnce;
    route.timeout = base::seconds(1);
    route.attempts = 2;
  }

  void request(const std::string& tenant) {
    RequestCounts& counts = countsByTenant[tenant];
    ++counts.sent;
    forwarding::RetryPolicy policy(route, now, now + base::seconds(1));
    std::set<std::string> tried;
    while (policy.maySend(now)) {
      const forwarding::InstanceEntry* to = table.select({"s", "", 0}, tried, random, now);
      cr_assert_not_null(to, "an instance is always selected");
      const std::string id = to->record.id;
      tried.insert(id);
      policy.onAttemptStarted();
      if (servers.at(id).tryStart(now, kWork)) {
        ++counts.served;
        return;
      }
      table.onEnded(id, forwarding::AttemptOutcome::kRejected, base::Duration{0}, now);
      policy.onResult(forwarding::AttemptResult::kNotRun);
    }
  }

  static constexpr std::uint32_t kSlots = 6;
  static constexpr base::Duration kWork = base::milliseconds(25);

  base::TimePoint now{base::seconds(100)};
  base::SeededRandom random{7};
  directory::Route route;
  std::map<std::string, Server> servers;
  forwarding::InstanceTable table{{"z", "gateway"}};
  std::map<std::string, RequestCounts> countsByTenant;
};

}  // namespace

// Guards against unfair rejection of small tenants at twice the capacity of the servers.
Test(refusals, affect_large_and_small_tenants_alike) {
  constexpr std::uint32_t kMillis = 80'000;
  constexpr std::uint32_t kLarge = 4;
  constexpr std::uint32_t kSmall = 75;
  constexpr std::uint32_t kSmallTenantPercent = 20;  // share of requests by small tenants
  OverloadedService service;
  RequestCounts all;
  for (std::uint32_t at = 0; at < kMillis; ++at) {
    service.now += base::milliseconds(1);
    for (int request = 0; request < 2; ++request) {
      const bool small = service.random.next() % 100 < kSmallTenantPercent;
      const std::uint64_t drawn = service.random.next() % (small ? kSmall : kLarge);
      service.request((small ? "small" : "large") + std::to_string(drawn));
    }
  }
  for (const auto& [tenant, counts] : service.countsByTenant) {
    all.sent += counts.sent;
    all.served += counts.served;
  }
  const double mean = all.served / all.sent;
  cr_assert_lt(mean, 0.7, "the servers are overloaded: %.3f", mean);
  cr_assert_eq(service.countsByTenant.size(), kLarge + kSmall);
  for (const auto& [tenant, counts] : service.countsByTenant) {
    cr_assert_geq(counts.served / counts.sent, mean * 0.75, "%s", tenant.c_str());
  }
}
