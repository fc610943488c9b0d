/// Order of loads, and recovery after the loss of a leader, a command or an engine.
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

/// Twelve engines with eight slots each, two models, and trainers whose step k requires version k -
/// 1.
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
    scheduler.reset({}, assignments);
  }
  void apply(const directory::DirectoryCommand& command) {
    (void)state.apply(1, base::encode(command));
  }
  void add(const std::string& id, std::uint16_t port) {
    apply(directory::RegisterInstance{{id, "s", "10.0.0.1", port, "z", 8, false}});
    engines[id].versions = {{"m", newest}, {"n", newest}};
  }
  /// Publishes version `step` and submits the step of that number.
  void submit(const std::string& model, std::uint64_t step, std::uint32_t waiting = 0) {
    apply(directory::PublishVersion{model, step});
    openJobs[model].push_back(
        {model + std::to_string(step), step - 1, 48, waiting, base::Duration{0}, base::seconds(7)});
    submittedAt[openJobs[model].back().job] = now;
    if (openJobs[model].size() > 2) {
      openJobs[model].erase(openJobs[model].begin());
    }
  }
  void reportOpenJobs() {
    for (auto& [model, open] : openJobs) {
      for (jobs::OpenJob& openJob : open) {
        openJob.age = now - submittedAt[openJob.job];
      }
    }
    scheduler.setOpenJobs(openJobs, now);
  }
  std::vector<directory::LoadCommand> step() {
    for (auto& [id, engine] : engines) {
      engine.lastSeenAt = now;
    }
    auto commands = scheduler.step(state, engines, {}, 3, now);
    for (const directory::LoadCommand& command : commands) {
      log.push_back(command);
    }
    return commands;
  }
  /// Submits four steps on time for both trainers; all engines hold the published versions
  /// afterwards.
  void warmUp() {
    for (std::uint64_t number = 2; number <= 5; ++number) {
      now += kInterval;
      submit("m", number);
      submit("n", number);
      newest = number;
      for (auto& [id, engine] : engines) {
        engine.versions = {{"m", number}, {"n", number}};
      }
      reportOpenJobs();
      (void)step();
    }
    log.clear();
  }
  /// Returns the engines that were commanded to load weights of `model`.
  std::set<std::string> commanded(const std::string& model) const {
    std::set<std::string> ids;
    for (const directory::LoadCommand& command : log) {
      if (command.model == model) {
        ids.insert(command.instance);
      }
    }
    return ids;
  }
  /// Completes all commanded loads.
  void load() {
    for (const directory::LoadCommand& command : log) {
      engines[command.instance].versions[command.model] = command.version;
    }
  }

  directory::DirectoryState state;
  directory::ReportedEngines engines;
  directory::EngineAssignments assignments;
  jobs::OpenJobsByModel openJobs;
  std::map<std::string, base::TimePoint> submittedAt;
  std::vector<directory::LoadCommand> log;
  std::uint64_t newest = 1;
  base::TimePoint now{base::seconds(100)};
  directory::LoadScheduler scheduler{directory::LoadSchedulerSettings{}};
};

}  // namespace

Test(weights_plan, open_step_without_slots_goes_before_an_older_publication) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("n", 6);  // all of its items run, so only the next step requires loads
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_eq(fleet.commanded("n").size(), 2U);
  fleet.load();
  fleet.log.clear();
  fleet.now += base::milliseconds(1100);
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);  // requires version 6, which no engine holds
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_eq(fleet.commanded("m").size(), fleet.scheduler.summary().maxLoads,
               "the number of loads reaches the limit");
  cr_assert(fleet.commanded("n").empty());
}

Test(weights_plan, engines_are_kept_for_the_step_that_starts) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6, 48);
  fleet.reportOpenJobs();
  cr_assert(fleet.step().empty(), "items of the step may start on version 5");
  fleet.now += base::milliseconds(100);
  fleet.openJobs["m"].back().waiting = 0;
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_not(fleet.commanded("m").empty(), "all items run, so the next step requires version 6");
}

Test(weights_plan, version_that_no_step_can_use_is_not_loaded) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.apply(directory::PublishVersion{"m", 6});
  // Steps of this trainer require a version that is not published yet.
  fleet.openJobs["m"] = {{"m-x", 8, 48, 48, base::Duration{0}, base::seconds(7)}};
  fleet.submittedAt["m-x"] = fleet.now;
  fleet.reportOpenJobs();
  (void)fleet.step();
  fleet.now += base::seconds(1);
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert(fleet.commanded("m").empty());
}

Test(weights_plan, summary_shows_the_slots_for_the_next_step) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += base::seconds(1);
  fleet.apply(directory::PublishVersion{"m", 6});
  (void)fleet.step();
  const auto& summary = fleet.scheduler.summary();
  cr_assert_eq(summary.models.at("m").published, 6U);
  cr_assert_eq(summary.models.at("m").neededVersion, 5U);
  cr_assert_eq(summary.models.at("m").readySlots, 48U);
  cr_assert_eq(summary.models.at("m").requiredSlots, 48U);
  cr_assert(summary.models.at("m").expectedIn == base::seconds(3));
  cr_assert_eq(summary.maxLoads, 2U);
}

Test(weights_plan, models_with_unknown_steps_load_in_order_of_publication) {
  SharedFleet fleet;
  fleet.apply(directory::PublishVersion{"n", 2});
  (void)fleet.step();
  fleet.now += base::milliseconds(100);
  fleet.apply(directory::PublishVersion{"m", 2});
  (void)fleet.step();
  fleet.now += base::seconds(1);
  (void)fleet.step();
  cr_assert_eq(fleet.commanded("n").size(), 2U);
  cr_assert(fleet.commanded("m").empty());
}

// The leader changes between a plan and its commands; the next leader has the open jobs, the
// assignments in the log and the reported versions.
Test(weights_plan, next_leader_does_not_repeat_commands) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.reportOpenJobs();
  (void)fleet.step();
  const std::set<std::string> first = fleet.commanded("m");
  cr_assert_eq(first.size(), 2U);
  fleet.load();
  fleet.log.clear();

  const directory::EngineAssignments assignments = fleet.scheduler.assignments();
  fleet.scheduler.reset(fleet.now + base::seconds(1), assignments);
  fleet.reportOpenJobs();
  cr_assert(fleet.step().empty(), "the command lease has not expired");
  cr_assert_eq(fleet.scheduler.summary().models.at("m").neededVersion, 6U,
               "step 7 is already planned");
  fleet.now += base::milliseconds(1050);
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_eq(fleet.log.size(), 2U);
  for (const directory::LoadCommand& command : fleet.log) {
    cr_assert_eq(command.model, "m");
    cr_assert_not(first.contains(command.instance), "the engine has already loaded the version");
  }
  cr_assert(fleet.scheduler.assignments() == assignments);
}

Test(weights_plan, command_without_a_response_blocks_neither_the_limit_nor_the_engine) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.reportOpenJobs();
  for (const directory::LoadCommand& command : fleet.step()) {
    fleet.scheduler.onOutcome(command, directory::LoadCommandOutcome::kUnknown, fleet.now);
  }
  const std::set<std::string> lost = fleet.commanded("m");
  fleet.log.clear();
  fleet.now += base::milliseconds(1600);
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_eq(fleet.commanded("m").size(), 2U, "other engines load meanwhile");
  for (const std::string& id : lost) {
    cr_assert_not(fleet.commanded("m").contains(id), "the command may still take effect");
  }
  fleet.load();
  fleet.now += base::seconds(1);
  fleet.reportOpenJobs();
  (void)fleet.step();
  fleet.load();
  cr_assert_eq(fleet.commanded("m").size(), 4U);
  fleet.log.clear();
  fleet.now += base::milliseconds(1500);
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert(fleet.commanded("m") == lost, "retried when it had no effect after four seconds");
}

// A delayed command returns an engine to the previous weights.
Test(weights_plan, engine_reverted_by_a_delayed_command_loads_again_at_once) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.reportOpenJobs();
  (void)fleet.step();
  const std::string reverted = *fleet.commanded("m").begin();
  fleet.load();
  fleet.now += base::seconds(1);
  fleet.reportOpenJobs();
  (void)fleet.step();
  fleet.load();
  fleet.log.clear();
  fleet.now += base::seconds(1);
  fleet.engines[reverted].versions["m"] = 5;
  fleet.reportOpenJobs();
  cr_assert_not(fleet.scheduler.isLoading(reverted, fleet.engines, fleet.now),
                "gateways may use the version that the engine holds");
  (void)fleet.step();
  cr_assert(fleet.commanded("m").contains(reverted));
}

Test(weights_plan, engine_that_restarts_while_loading_gets_a_new_command) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6);
  fleet.submit("m", 7, 48);
  fleet.reportOpenJobs();
  (void)fleet.step();
  const std::string lost = *fleet.commanded("m").begin();
  fleet.log.clear();
  const std::uint16_t port = fleet.state.instances().at(lost).port;
  fleet.engines.erase(lost);
  fleet.add("again", port);  // registers at the address of the lost engine
  fleet.engines["again"].versions = {{"m", 5}, {"n", 5}};
  cr_assert_not(fleet.state.instances().contains(lost));
  fleet.now += base::milliseconds(100);
  fleet.reportOpenJobs();
  (void)fleet.step();
  cr_assert_eq(fleet.log.size(), 1U, "the load of the lost engine is not counted");
  cr_assert_eq(fleet.log[0].model, "m");
}

Test(weights_plan, outdated_open_jobs_do_not_block_loads) {
  SharedFleet fleet;
  fleet.warmUp();
  fleet.now += kInterval;
  fleet.submit("m", 6, 48);
  fleet.submit("n", 6);
  fleet.reportOpenJobs();
  (void)fleet.step();
  fleet.log.clear();
  // The ledgers' leader is cut off; its last report contained waiting items of m.
  for (int turn = 0; turn < 80; ++turn) {
    fleet.now += base::milliseconds(100);
    (void)fleet.step();
    fleet.load();
  }
  cr_assert_eq(fleet.commanded("m").size(), 6U);
  cr_assert_eq(fleet.commanded("n").size(), 6U);
}

// Batches without a trainer allow any version, and some of their items are always waiting.
Test(weights_plan, continuous_work_does_not_keep_engines_from_loading) {
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
      fleet.openJobs["m"].push_back({job, 0, 48, 48, base::Duration{0}, base::seconds(7)});
      fleet.submittedAt[job] = fleet.now;
      if (fleet.openJobs["m"].size() > 8) {
        fleet.openJobs["m"].erase(fleet.openJobs["m"].begin());
      }
    }
    fleet.reportOpenJobs();
    if (turn % 20 == 0) {
      fleet.load();
      fleet.log.clear();
    }
    (void)fleet.step();
  }
  for (const auto& [id, model] : fleet.scheduler.assignments()) {
    cr_assert_geq(fleet.engines[id].versions[model] + 4, version, "%s of %s", id.c_str(),
                  model.c_str());
  }
}
