/// Seeded random damage to everything that is read from outside: internal frames, HTTP bodies,
/// settings, snapshots. Nothing may crash or hang; valid input still round-trips.
#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "base/random.h"
#include "config/declarations.h"
#include "config/process_settings.h"
#include "control/control_commands.h"
#include "ledger/ledger_commands.h"
#include "runtime/control_json.h"
#include "runtime/engine_json.h"
#include "transport/internal_messages.h"

namespace base = tackpick::base;
namespace config = tackpick::config;
namespace control = tackpick::control;
namespace ledger = tackpick::ledger;
namespace runtime = tackpick::runtime;
namespace transport = tackpick::transport;

namespace {

constexpr int kRounds = 20'000;

/// Flips, cuts, repeats and inserts bytes.
base::Bytes damaged(const base::Bytes& good, base::Random& random) {
  base::Bytes bad = good;
  const std::uint64_t changes = 1 + random.below(4);
  for (std::uint64_t i = 0; i < changes && !bad.empty(); ++i) {
    const std::size_t at = random.below(bad.size());
    switch (random.below(4)) {
      case 0:
        bad[at] = static_cast<char>(random.below(256));
        break;
      case 1:
        bad.resize(at);
        break;
      case 2:
        bad.insert(at, bad.substr(at, random.below(16)));
        break;
      default:
        bad.insert(at, 1, static_cast<char>(random.below(256)));
    }
  }
  return bad;
}

template <typename T>
void survivesDamage(const T& value, std::uint64_t seed) {
  base::SeededRandom random(seed);
  const base::Bytes good = base::encode(value);
  cr_assert(base::decode<T>(good).has_value());
  for (int i = 0; i < kRounds; ++i) {
    (void)base::decode<T>(damaged(good, random));
  }
}

transport::InternalMessage someMessage() {
  transport::WatchResponse response;
  response.delta.nodes.push_back({"t/w", {3}, false, {{control::SettingKey::kModel, "m"}}});
  response.delta.credentials.push_back(
      {"hash", {4}, control::CredentialRole::kTrainer, {"t"}, false});
  return response;
}

}  // namespace

Test(bad_bytes, internal_messages) { survivesDamage(someMessage(), 1); }

Test(bad_bytes, ledger_commands) {
  ledger::SubmitBatch batch{
      {"t/b"}, {"t/w"}, "m", {1}, {{0, "prompt", 1, 10}, {1, "other", 2, 10}}};
  survivesDamage(ledger::LedgerCommand{1, batch}, 2);
}

Test(bad_bytes, control_commands) {
  control::NodeChange change;
  change.path = "t";
  change.set[control::SettingKey::kPriority] = std::int64_t{1};
  survivesDamage(control::ControlCommand{"id", control::ApplyChange{"a", false, {change}}}, 3);
}

Test(bad_bytes, http_bodies) {
  base::SeededRandom random(4);
  const base::Bytes generate =
      R"({"attempt":"12","model":"m","prompt":"p","seed":"5","max_tokens":7,"resume_from":0})";
  const base::Bytes apply =
      R"({"request_id":"x","author":"a","changes":[{"path":"t","set":{"priority":1}}]})";
  const auto ignore = [](const base::Error&) { return 0; };
  for (int i = 0; i < kRounds; ++i) {
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_CHECK(runtime::parseGenerateRequest(damaged(generate, random)));
          return 0;
        },
        ignore);
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_CHECK(runtime::parseApply(damaged(apply, random)));
          return 0;
        },
        ignore);
    (void)runtime::parseMachineList(
        damaged(R"([{"engine":"1","host":"127.0.0.1","port":1}])", random));
  }
}

Test(bad_bytes, settings_files) {
  base::SeededRandom random(5);
  std::string pattern = "/tmp/tackpick-settings-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  const std::string good =
      "cluster: c\nnode: 1\nzone: z\ndata_folder: d\nkey_file: k\ninternal: 127.0.0.1:0\n"
      "http: 127.0.0.1:0\nroles: [controller]\ncontrollers: {group: 1, nodes: [1]}\n";
  constexpr int kFiles = 1500;
  for (int i = 0; i < kFiles; ++i) {
    const std::string file = folder + "/settings.yaml";
    std::ofstream(file) << damaged(good, random);
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_CHECK(config::loadProcessSettings(file));
          return 0;
        },
        [](const base::Error& error) {
          cr_assert_not(error.message.empty());
          return 1;
        });
  }
  std::filesystem::remove_all(folder);
}

Test(settings, every_problem_is_named_with_file_and_line) {
  std::string pattern = "/tmp/tackpick-settings-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  const std::string file = folder + "/settings.yaml";
  std::ofstream(file) << "cluster: c\nnode: many\nzone: z\ndata_folder: d\nkey_file: k\n"
                         "internal: here\nhttp: 127.0.0.1:0\nroles: [king]\nunknown: 1\n"
                         "controllers: {group: 1, nodes: [1]}\n";
  const std::string message = base::recover(
      [&]() -> base::Result<std::string> {
        BOOST_LEAF_CHECK(config::loadProcessSettings(file));
        return std::string();
      },
      [](const base::Error& error) { return error.message; });
  for (const std::string expected :
       {"settings.yaml:2", "settings.yaml:6", "settings.yaml:8", "settings.yaml:9"}) {
    cr_assert_neq(message.find(expected), std::string::npos, "%s in\n%s", expected.c_str(),
                  message.c_str());
  }
  std::filesystem::remove_all(folder);
}

Test(settings, declarations_of_both_deployments_are_valid) {
  const char* root = std::getenv("TACKPICK_ROOT");
  for (const std::string site : {"zoekwerk", "strait-ferry"}) {
    const std::string folder = std::string(root == nullptr ? "." : root) + "/deploy/" + site;
    const std::size_t nodes = base::recover(
        [&]() -> base::Result<std::size_t> {
          BOOST_LEAF_AUTO(declared, config::loadDeclarations(folder));
          return declared.size();
        },
        [](const base::Error& error) {
          cr_assert_fail("%s", error.message.c_str());
          return std::size_t{0};
        });
    cr_assert_gt(nodes, 3U);
  }
}
