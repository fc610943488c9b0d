/// Which engines load next, and what happens when a leader, an order or an engine is lost.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "directory/directory_state.h"
#include "directory/load_scheduler.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kInterval = base::seconds(4);

/// Twelve engines of eight slots, two models, and trainers whose step k needs version k - 1.
struct SharedFleet {
  SharedFleet() {
    directory::Configuration configuration;
    configuration.version = 1;
    configuration.services = {{"s", "/health", 10, 4, {"m", "n"}}};
    apply(directory::ReplaceConfiguration{configuration});
    for (int i = 0; i < 12; ++i) {
      const std::string id = "e" + std::to_string(i);
      assignments[id] = i < 6 ? "m" : "n";
      add(id, static_cast<std::uint16_t>(i + 1));
    }
    orders.reset({}, assignments);
  }
  void apply(const directory::DirectoryCommand& command) {
    (void)state.apply(1, base::encode(command));
  }
  void add(const std::string& id, std::uint16_t port) {
    apply(directory::RegisterInstance{{id, "s", "10.0.0.1", port, "z", 8, false}});
    engines[id].versions = {{"m", newest}, {"n", newest}};
  }
  /// Version `step` is published, and the steps of that number come.
  void submit(const std::string& model, std::uint64_t step, std::uint32_t waiting = 0) {
    apply(directory::PublishVersion{model, step});
    works[model].push_back(
        {model + std::to_string(step), step - 1, 48, waiting, base::Duration{0}, base::seconds(7)});
    submittedAt[works[model].back().job] = now;
    if (works[model].size() > 2) {
      works[model].erase(works[model].begin());
    }
  }
  void tell() {
    for (auto& [model, open] : works) {
      for (jobs::OpenJob& work : open) {
        work.age = now - submittedAt[work.job];
      }
    }
    orders.setOpenJobs(works, now);
  }
  std::vector<directory::LoadCommand> step() {
    for (auto& [id, engine] : engines) {
      engine.lastSeenAt = now;
    }
    auto given = orders.step(state, engines, {}, 3, now);
    for (const directory::LoadCommand& order : given) {
      log.push_back(order);
    }
    return given;
  }
  /// Both trainers ask for four steps in time; all engines hold what is published then.
  void learn() {
    for (std::uint64_t number = 2; number <= 5; ++number) {
      now += kInterval;
      submit("m", number);
      submit("n", number);
      newest = number;
      for (auto& [id, engine] : engines) {
        engine.versions = {{"m", number}, {"n", number}};
      }
      tell();
      (void)step();
    }
    log.clear();
  }
  /// Engines that were ordered to load weights of `model`.
  std::set<std::string> ordered(const std::string& model) const {
    std::set<std::string> ids;
    for (const directory::LoadCommand& order : log) {
      if (order.model == model) {
        ids.insert(order.instance);
      }
    }
    return ids;
  }
  /// What was ordered is loaded.
  void load() {
    for (const directory::LoadCommand& order : log) {
      engines[order.instance].versions[order.model] = order.version;
    }
  }

  directory::DirectoryState state;
  directory::ReportedEngines engines;
  directory::EngineAssignments assignments;
  jobs::OpenJobsByModel works;
  std::map<std::string, base::TimePoint> submittedAt;
  std::vector<directory::LoadCommand> log;
  std::uint64_t newest = 1;
  base::TimePoint now{base::seconds(100)};
  directory::LoadScheduler orders{directory::LoadSchedulerSettings{}};
};

}  // namespace

Test(weights_plan, open_step_without_places_goes_before_an_older_publication) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("n", 6);  // all of its items run: only the step after it needs loads
  fleet.tell();
  (void)fleet.step();
  cr_assert_eq(fleet.ordered("n").size(), 2U);
  fleet.load();
  fleet.log.clear();
  fleet.now += base::milliseconds(1100);
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);  // needs version 6, which no engine holds
  fleet.tell();
  (void)fleet.step();
  cr_assert_eq(fleet.ordered("m").size(), fleet.orders.summary().budget,
               "at once, and all of them");
  cr_assert(fleet.ordered("n").empty());
}

Test(weights_plan, engines_are_left_to_the_step_that_begins) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6, 48);
  fleet.tell();
  cr_assert(fleet.step().empty(), "its items may begin on version 5");
  fleet.now += base::milliseconds(100);
  fleet.works["m"].back().waiting = 0;
  fleet.tell();
  (void)fleet.step();
  cr_assert_not(fleet.ordered("m").empty(), "all items run: the next step needs version 6");
}

Test(weights_plan, version_that_would_serve_nothing_is_not_loaded) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.apply(directory::PublishVersion{"m", 6});
  // Steps of this trainer need a version that is not there yet.
  fleet.works["m"] = {{"m-x", 8, 48, 48, base::Duration{0}, base::seconds(7)}};
  fleet.submittedAt["m-x"] = fleet.now;
  fleet.tell();
  (void)fleet.step();
  fleet.now += base::seconds(1);
  fleet.tell();
  (void)fleet.step();
  cr_assert(fleet.ordered("m").empty());
}

Test(weights_plan, sight_tells_what_the_next_step_finds) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += base::seconds(1);
  fleet.apply(directory::PublishVersion{"m", 6});
  (void)fleet.step();
  const auto& summary = fleet.orders.summary();
  cr_assert_eq(summary.models.at("m").published, 6U);
  cr_assert_eq(summary.models.at("m").neededVersion, 5U);
  cr_assert_eq(summary.models.at("m").readySlots, 48U);
  cr_assert_eq(summary.models.at("m").requiredSlots, 48U);
  cr_assert(summary.models.at("m").expectedIn == base::seconds(3));
  cr_assert_eq(summary.budget, 2U);
}

Test(weights_plan, one_model_or_unknown_steps_are_ordered_as_they_were_published) {
  SharedFleet fleet;
  fleet.apply(directory::PublishVersion{"n", 2});
  (void)fleet.step();
  fleet.now += base::milliseconds(100);
  fleet.apply(directory::PublishVersion{"m", 2});
  (void)fleet.step();
  fleet.now += base::seconds(1);
  (void)fleet.step();
  cr_assert_eq(fleet.ordered("n").size(), 2U);
  cr_assert(fleet.ordered("m").empty());
}

// Between the plan of a leader and its orders: the next one is told what is open, finds assignments
// in the log and weights in the reports.
Test(weights_plan, next_leader_goes_on_without_orders_given_twice) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.tell();
  (void)fleet.step();
  const std::set<std::string> first = fleet.ordered("m");
  cr_assert_eq(first.size(), 2U);
  fleet.load();
  fleet.log.clear();

  const directory::EngineAssignments assignments = fleet.orders.assignments();
  fleet.orders.reset(fleet.now + base::seconds(1), assignments);
  fleet.tell();
  cr_assert(fleet.step().empty(), "not before the order lease is over");
  cr_assert_eq(fleet.orders.summary().models.at("m").neededVersion, 6U,
               "it is planned for already");
  fleet.now += base::milliseconds(1050);
  fleet.tell();
  (void)fleet.step();
  cr_assert_eq(fleet.log.size(), 2U);
  for (const directory::LoadCommand& order : fleet.log) {
    cr_assert_eq(order.model, "m");
    cr_assert_not(first.contains(order.instance), "it holds version 7");
  }
  cr_assert(fleet.orders.assignments() == assignments);
}

Test(weights_plan, order_without_an_answer_holds_up_neither_budget_nor_engine) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.tell();
  for (const directory::LoadCommand& order : fleet.step()) {
    fleet.orders.onOutcome(order, directory::LoadCommandOutcome::kUnknown, fleet.now);
  }
  const std::set<std::string> lost = fleet.ordered("m");
  fleet.log.clear();
  fleet.now += base::milliseconds(1600);
  fleet.tell();
  (void)fleet.step();
  cr_assert_eq(fleet.ordered("m").size(), 2U, "others load meanwhile");
  for (const std::string& id : lost) {
    cr_assert_not(fleet.ordered("m").contains(id), "it may still be taken");
  }
  fleet.load();
  fleet.now += base::seconds(1);
  fleet.tell();
  (void)fleet.step();
  fleet.load();
  cr_assert_eq(fleet.ordered("m").size(), 4U);
  fleet.log.clear();
  fleet.now += base::milliseconds(1500);
  fleet.tell();
  (void)fleet.step();
  cr_assert(fleet.ordered("m") == lost, "without effect after four seconds: once more");
}

// An order carried out seconds late takes an engine back to the weights before.
Test(weights_plan, engine_taken_back_by_a_late_order_is_ordered_again_at_once) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.tell();
  (void)fleet.step();
  const std::string taken = *fleet.ordered("m").begin();
  fleet.load();
  fleet.now += base::seconds(1);
  fleet.tell();
  (void)fleet.step();
  fleet.load();
  fleet.log.clear();
  fleet.now += base::seconds(1);
  fleet.engines[taken].versions["m"] = 5;
  fleet.tell();
  cr_assert_not(fleet.orders.isLoading(taken, fleet.engines, fleet.now),
                "gateways may use what it holds");
  (void)fleet.step();
  cr_assert(fleet.ordered("m").contains(taken));
}

Test(weights_plan, engine_that_starts_again_while_it_loads_is_ordered_anew) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.tell();
  (void)fleet.step();
  const std::string lost = *fleet.ordered("m").begin();
  fleet.log.clear();
  const std::uint16_t port = fleet.state.instances().at(lost).port;
  fleet.engines.erase(lost);
  fleet.add("again", port);  // takes the address, and with it the place of the other
  fleet.engines["again"].versions = {{"m", 5}, {"n", 5}};
  cr_assert_not(fleet.state.instances().contains(lost));
  fleet.now += base::milliseconds(100);
  fleet.tell();
  (void)fleet.step();
  cr_assert_eq(fleet.log.size(), 1U, "the load that was lost no longer counts");
  cr_assert_eq(fleet.log[0].model, "m");
}

Test(weights_plan, open_work_that_is_not_told_any_more_holds_up_nothing) {
  SharedFleet fleet;
  fleet.learn();
  fleet.now += kInterval;
  fleet.submit("m", 6, 48);
  fleet.submit("n", 6);
  fleet.tell();
  (void)fleet.step();
  fleet.log.clear();
  // The ledgers' leader is cut off, its last word was that items of m wait.
  for (int turn = 0; turn < 80; ++turn) {
    fleet.now += base::milliseconds(100);
    (void)fleet.step();
    fleet.load();
  }
  cr_assert_eq(fleet.ordered("m").size(), 6U);
  cr_assert_eq(fleet.ordered("n").size(), 6U);
}

// Batches without a trainer allow any version, and some of their items always wait.
Test(weights_plan, work_without_a_pause_keeps_no_engine_from_new_weights) {
  SharedFleet fleet;
  std::uint64_t version = 1;
  for (int turn = 0; turn < 800; ++turn) {
    fleet.now += base::milliseconds(50);
    if (turn % 80 == 0) {
      ++version;
      fleet.apply(directory::PublishVersion{"m", version});
      fleet.apply(directory::PublishVersion{"n", version});
    }
    if (turn % 5 == 0) {
      const std::string job = "batch" + std::to_string(turn);
      fleet.works["m"].push_back({job, 0, 48, 48, base::Duration{0}, base::seconds(7)});
      fleet.submittedAt[job] = fleet.now;
      if (fleet.works["m"].size() > 8) {
        fleet.works["m"].erase(fleet.works["m"].begin());
      }
    }
    fleet.tell();
    if (turn % 20 == 0) {
      fleet.load();
      fleet.log.clear();
    }
    (void)fleet.step();
  }
  for (const auto& [id, home] : fleet.orders.assignments()) {
    cr_assert_geq(fleet.engines[id].versions[home] + 4, version, "%s of %s", id.c_str(),
                  home.c_str());
  }
}
