/// Fuzz tests of the decoders for internal messages, commands, HTTP bodies and settings files.
/// Guards against crashes and hangs on corrupt input.
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

constexpr int kIterations = 20'000;

/// Returns a copy of `valid` with random bytes replaced, truncated, repeated or inserted.
base::Bytes mutate(const base::Bytes& valid, base::Random& random) {
  base::Bytes mutated = valid;
  const std::uint64_t changes = 1 + random.below(4);
  for (std::uint64_t i = 0; i < changes && !mutated.empty(); ++i) {
    const std::size_t at = random.below(mutated.size());
    switch (random.below(4)) {
      case 0:
        mutated[at] = static_cast<char>(random.below(256));
        break;
      case 1:
        mutated.resize(at);
        break;
      case 2:
        mutated.insert(at, mutated.substr(at, random.below(16)));
        break;
      default:
        mutated.insert(at, 1, static_cast<char>(random.below(256)));
    }
  }
  return mutated;
}

template <typename T>
void fuzzDecoder(const T& value, std::uint64_t seed) {
  base::SeededRandom random(seed);
  const base::Bytes valid = base::encode(value);
  cr_assert(base::decode<T>(valid).has_value());
  for (int i = 0; i < kIterations; ++i) {
    (void)base::decode<T>(mutate(valid, random));
  }
}

transport::InternalMessage sampleMessage() {
  transport::WatchResponse response;
  response.delta.nodes.push_back({"t/w", {3}, false, {{control::SettingKey::kModel, "m"}}});
  response.delta.credentials.push_back(
      {"hash", {4}, control::CredentialRole::kTrainer, {"t"}, false});
  return response;
}

}  // namespace

Test(bad_bytes, internal_messages) { fuzzDecoder(sampleMessage(), 1); }

Test(bad_bytes, ledger_commands) {
  ledger::SubmitBatch batch{
      {"t/b"}, {"t/w"}, "m", {1}, {{0, "prompt", 1, 10}, {1, "other", 2, 10}}};
  fuzzDecoder(ledger::LedgerCommand{1, batch}, 2);
}

Test(bad_bytes, control_commands) {
  control::NodeChange change;
  change.path = "t";
  change.set[control::SettingKey::kPriority] = std::int64_t{1};
  fuzzDecoder(control::ControlCommand{"id", control::ApplyChange{"a", false, {change}}}, 3);
}

Test(bad_bytes, http_bodies) {
  base::SeededRandom random(4);
  const base::Bytes generate =
      R"({"attempt":"12","model":"m","prompt":"p","seed":"5","max_tokens":7,"resume_from":0})";
  const base::Bytes apply =
      R"({"request_id":"x","author":"a","changes":[{"path":"t","set":{"priority":1}}]})";
  const auto ignore = [](const base::Error&) { return 0; };
  for (int i = 0; i < kIterations; ++i) {
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_CHECK(runtime::parseGenerateRequest(mutate(generate, random)));
          return 0;
        },
        ignore);
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_CHECK(runtime::parseApplyRequest(mutate(apply, random)));
          return 0;
        },
        ignore);
    (void)runtime::parseMachineList(
        mutate(R"([{"engine":"1","host":"127.0.0.1","port":1}])", random));
  }
}

Test(bad_bytes, settings_files) {
  base::SeededRandom random(5);
  std::string pattern = "/tmp/tackpick-settings-XXXXXX";
  const std::string directory = mkdtemp(pattern.data());
  const std::string valid =
      "cluster: c\nnode: 1\nzone: z\ndata_folder: d\nkey_file: k\ninternal: 127.0.0.1:0\n"
      "http: 127.0.0.1:0\nroles: [controller]\ncontrollers: {group: 1, nodes: [1]}\n";
  constexpr int kFiles = 1500;
  for (int i = 0; i < kFiles; ++i) {
    const std::string file = directory + "/settings.yaml";
    std::ofstream(file) << mutate(valid, random);
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
  std::filesystem::remove_all(directory);
}

Test(settings, every_error_is_reported_with_file_and_line) {
  std::string pattern = "/tmp/tackpick-settings-XXXXXX";
  const std::string directory = mkdtemp(pattern.data());
  const std::string file = directory + "/settings.yaml";
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
  std::filesystem::remove_all(directory);
}

Test(settings, declarations_of_both_deployments_are_valid) {
  const char* root = std::getenv("TACKPICK_ROOT");
  for (const std::string site : {"zoekwerk", "strait-ferry"}) {
    const std::string directory = std::string(root == nullptr ? "." : root) + "/deploy/" + site;
    const std::size_t nodes = base::recover(
        [&]() -> base::Result<std::size_t> {
          BOOST_LEAF_AUTO(declared, config::loadDeclarations(directory));
          return declared.size();
        },
        [](const base::Error& error) {
          cr_assert_fail("%s", error.message.c_str());
          return std::size_t{0};
        });
    cr_assert_gt(nodes, 3U);
  }
}
