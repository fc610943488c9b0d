/// Plain requests do not wait at a gateway: each is sent at once, and what its instances refuse is
/// refused. Whose requests are refused when the instances are full.
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

/// A server that runs some requests, lets a few more wait, and refuses the rest.
struct Server {
  std::vector<base::TimePoint> endsAt;
  std::size_t slots = 0;

  bool take(base::TimePoint now, base::Duration work) {
    std::erase_if(endsAt, [&](base::TimePoint end) { return end <= now; });
    if (endsAt.size() >= slots) {
      return false;
    }
    endsAt.push_back(now + work);
    return true;
  }
};

struct Tally {
  double asked = 0;
  double served = 0;
};

/// Servers, the gateway's table of them, and what became of each tenant's requests.
struct FullService {
  FullService() {
    std::vector<directory::InstanceView> views;
    for (const char* id : {"a", "b", "c"}) {
      directory::InstanceView view;
      view.record = {id, "s", "10.0.0.1", 1, "z", kSlots, false};
      views.push_back(view);
      servers[id].slots = kSlots + 2;
    }
    table.update(views);
    route.kind = directory::RouteKind::kAtMostOnce;
    route.timeout = base::seconds(1);
    route.attempts = 2;
  }

  void request(const std::string& tenant) {
    Tally& tally = tallies[tenant];
    ++tally.asked;
    forwarding::RetryPolicy policy(route, now, now + base::seconds(1));
    std::set<std::string> tried;
    while (policy.maySend(now)) {
      const forwarding::InstanceEntry* to = table.select({"s", "", 0}, tried, random, now);
      cr_assert_not_null(to, "it is never held back");
      const std::string id = to->record.id;
      tried.insert(id);
      policy.onSend();
      if (servers.at(id).take(now, kWork)) {
        ++tally.served;
        return;
      }
      table.onEnded(id, forwarding::AttemptOutcome::kFull, base::Duration{0}, now);
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
  std::map<std::string, Tally> tallies;
};

}  // namespace

// 79 tenants, four of them large, ask for twice what the servers can do.
Test(refusals, fall_on_large_and_small_tenants_alike) {
  constexpr std::uint32_t kMillis = 80'000;
  constexpr std::uint32_t kLarge = 4;
  constexpr std::uint32_t kSmall = 75;
  constexpr std::uint32_t kShareOfSmall = 20;  // in a hundred of all requests
  FullService service;
  Tally all;
  for (std::uint32_t at = 0; at < kMillis; ++at) {
    service.now += base::milliseconds(1);
    for (int request = 0; request < 2; ++request) {
      const bool small = service.random.next() % 100 < kShareOfSmall;
      const std::uint64_t drawn = service.random.next() % (small ? kSmall : kLarge);
      service.request((small ? "small" : "large") + std::to_string(drawn));
    }
  }
  for (const auto& [tenant, tally] : service.tallies) {
    all.asked += tally.asked;
    all.served += tally.served;
  }
  const double mean = all.served / all.asked;
  cr_assert_lt(mean, 0.7, "most places are taken: %.3f", mean);
  cr_assert_eq(service.tallies.size(), kLarge + kSmall);
  for (const auto& [tenant, tally] : service.tallies) {
    cr_assert_geq(tally.served / tally.asked, mean * 0.75, "%s", tenant.c_str());
  }
}
