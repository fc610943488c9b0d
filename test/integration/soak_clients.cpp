#include "integration/soak_clients.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>

#include "http/status.h"

namespace tackpick::test {
namespace {

using namespace http::status;
using runtime::Json;

constexpr long kCallSeconds = 3;
constexpr auto kPause = std::chrono::milliseconds(40);
constexpr int kItems = 4;
constexpr const char* kEndingPath = "/q/end";

std::map<std::string, std::string> callerHeaders(const std::string& key) {
  return {{"Host", "batches.example"}, {"Authorization", "Token " + key}};
}

/// Two models and two tenants, whose priorities change with every version.
Json configurationOf(std::uint64_t version) {
  constexpr std::uint64_t kPriorities = 2;
  const std::uint64_t first = version % kPriorities;
  Json made = tenantConfiguration(
      version, {{{"name", "a"}, {"apiKeys", {"key-a"}}, {"priority", first}},
                {{"name", "b"}, {"apiKeys", {"key-b"}}, {"priority", kPriorities - 1 - first}}});
  made["services"][0]["engine"]["models"] = {{{"name", "m"}}, {{"name", "n"}}};
  return made;
}

HttpAnswer callGatewayAs(const std::string& key, const SoakContext& context, base::Random& random,
                         const std::string& method, const std::string& path,
                         const std::string& body, const std::string& id) {
  std::map<std::string, std::string> headers = callerHeaders(key);
  headers["Request-Id"] = id;
  const std::string address = context.addresses.gateway(random);
  return call({method, context.cluster.gatewayUrl(address, path), body, {}, headers, kCallSeconds});
}

}  // namespace

void Problem::report(const std::string& what) {
  const std::lock_guard lock(m_mutex);
  if (m_text.empty()) {
    m_text = what;
  }
}

std::string Problem::text() const {
  const std::lock_guard lock(m_mutex);
  return m_text;
}

void AddressBook::set(std::vector<std::string> controllers, std::vector<std::string> gateways) {
  const std::lock_guard lock(m_mutex);
  m_controllers = std::move(controllers);
  m_gateways = std::move(gateways);
}

std::string AddressBook::controller(base::Random& random) const {
  const std::lock_guard lock(m_mutex);
  return m_controllers.at(random.below(m_controllers.size()));
}

std::string AddressBook::gateway(base::Random& random) const {
  const std::lock_guard lock(m_mutex);
  return m_gateways.at(random.below(m_gateways.size()));
}

Repeating::Repeating(std::function<void()> step)
    : m_thread([this, step = std::move(step)] {
        while (!m_stopping) {
          step();
          std::this_thread::sleep_for(kPause);
        }
      }) {}

Repeating::~Repeating() {
  m_stopping = true;
  m_thread.join();
}

void Operator::step() {
  if (change()) {
    ++m_version;
  }
  read();
}

bool Operator::change() {
  const std::string address = m_context.addresses.controller(m_random);
  const HttpAnswer answer = call({"POST",
                                  m_context.cluster.controlUrl(address, "/Configuration.Replace"),
                                  configurationOf(m_version).dump(),
                                  {},
                                  {},
                                  kCallSeconds});
  if (answer.status == kOk) {
    m_accepted = m_version;
  } else if (answer.status == kBadRequest || answer.status == kConflict) {
    m_context.problem.report("a valid change is refused with " + std::to_string(answer.status));
  }
  return answer.status == kOk;
}

void Operator::read() {
  const std::uint64_t least = m_accepted;
  const std::string address = m_context.addresses.controller(m_random);
  const HttpAnswer answer = call({"GET",
                                  m_context.cluster.controlUrl(address, "/Configuration.Read"),
                                  "",
                                  {},
                                  {},
                                  kCallSeconds});
  if (answer.status != kOk) {
    return;
  }
  const std::uint64_t version = Json::parse(answer.body)["version"].get<std::uint64_t>();
  if (version < least) {
    m_context.problem.report("version " + std::to_string(version) + " is read after " +
                             std::to_string(least) + " was accepted");
  }
}

HttpAnswer Trainer::callGateway(const std::string& method, const std::string& path,
                                const std::string& body, const std::string& id) {
  return callGatewayAs(m_key, m_context, m_random, method, path, body, id);
}

void Trainer::step() {
  if (m_acceptedBatch) {
    read();
  } else if (m_toPublish > 0) {
    publish();
  } else {
    submit();
  }
}

void Trainer::publish() {
  const Json version = {{"model", m_model}, {"version", m_published + 1}};
  const std::string address = m_context.addresses.controller(m_random);
  const HttpAnswer answer = call({"POST",
                                  m_context.cluster.controlUrl(address, "/version-put"),
                                  version.dump(),
                                  {},
                                  {},
                                  kCallSeconds});
  if (answer.status == kOk) {
    ++m_published;
    --m_toPublish;
  }
}

void Trainer::submit() {
  if (m_name.empty()) {
    m_name = m_model + std::to_string(++m_batches);
    m_minimum = std::max<std::uint64_t>(m_published, 2) - 1;
    m_seen.clear();
  }
  Json submission = Json::parse(batch(kItems));
  submission["model"] = m_model;
  submission["minimumVersion"] = m_minimum;
  for (Json& item : submission["items"]) {
    item["headers"]["Model"] = m_model;
  }
  const HttpAnswer answer = callGateway("POST", "/b/x", submission.dump(), m_name);
  m_acceptedBatch = answer.status == kAccepted;
}

void Trainer::checkVersions(const Json& result) {
  for (const Json& version : result["versions"]) {
    const std::uint64_t made = version.get<std::uint64_t>();
    if (made < m_minimum || made > m_published) {
      m_context.problem.report("a text of " + m_name + ", which allows " +
                               std::to_string(m_minimum) + " to " + std::to_string(m_published) +
                               ", is " + result.dump());
    }
  }
}

void Trainer::read() {
  const HttpAnswer answer = callGateway("GET", "/lots/" + m_name + "?afterRevision=0", "", "");
  if (answer.status == kNotFound) {
    m_context.problem.report("accepted batch " + m_name + " is not found");
  }
  if (answer.status != kOk) {
    return;
  }
  const Json results = Json::parse(answer.body)["results"];
  for (std::size_t at = 0; at < results.size(); ++at) {
    const std::string result = results[at].dump();
    if (m_seen.try_emplace(at, result).first->second != result) {
      m_context.problem.report("a position of " + m_name + " holds another result than before");
    }
    if (results[at]["message"] != "ab0\nab1\nab2\nab3\nab4") {
      m_context.problem.report("a text of " + m_name + " is " + result);
    }
    checkVersions(results[at]);
  }
  if (results.size() == kItems) {
    constexpr double kBurst = 0.3;
    callGateway("DELETE", "/lots/" + m_name, "", "");
    m_name.clear();
    m_acceptedBatch = false;
    m_toPublish = m_random.chance(kBurst) ? 2 : 1;
    ++m_whole;
  }
}

KeptCaller::~KeptCaller() {
  for (const auto& [gateway, connection] : m_connections) {
    curl_easy_cleanup(connection);
  }
}

void KeptCaller::step() {
  const std::string gateway = m_context.addresses.gateway(m_random);
  void*& connection = m_connections[gateway];
  if (connection == nullptr) {
    connection = curl_easy_init();
  }
  const std::string id = "kept" + std::to_string(++m_requests);
  std::map<std::string, std::string> headers = callerHeaders("key-a");
  headers["Request-Id"] = id;
  const HttpAnswer answer =
      callOn(connection,
             {"GET", m_context.cluster.gatewayUrl(gateway, "/q/1"), "", {}, headers, kCallSeconds});
  if (answer.status == 0) {
    curl_easy_cleanup(connection);
    connection = nullptr;
    return;
  }
  if (answer.status != kOk) {
    return;
  }
  const auto echoed = answer.headers.find("request-id");
  if (echoed == answer.headers.end() || echoed->second != id) {
    m_context.problem.report("the answer to " + id + " belongs to another request");
  }
  if (answer.body.find("data: " + std::to_string(kEvents - 1)) == std::string::npos) {
    m_context.problem.report("the answer to " + id + " is not whole: " + answer.body);
  }
  ++m_served;
}

void EndingCaller::step() {
  const std::string id = "ending" + std::to_string(++m_tries);
  (void)callGatewayAs("key-a", m_context, m_random, "POST", kEndingPath, "two seats", id);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

EngineLife::EngineLife(SoakContext context, std::string name, std::uint64_t seed)
    : m_context(context), m_name(std::move(name)), m_random(seed) {
  constexpr std::uint64_t kSlowestPaceMs = 80;
  constexpr std::uint64_t kMaxLoadMs = 600;
  m_behaviour.pace = base::milliseconds(m_random.below(kSlowestPaceMs));
  m_behaviour.loadTime = base::milliseconds(1 + m_random.below(kMaxLoadMs));
  m_behaviour.versions = {{"m", 1}, {"n", 1}};
  m_engine = std::make_unique<StandInEngine>(m_name, m_behaviour);
  m_engine->endOn(kEndingPath);
}

void EngineLife::step() {
  std::string body;
  {
    const std::lock_guard lock(m_mutex);
    if (m_engine->hasRestarted()) {
      ++m_endedByRequests;
      beginLife();
    }
    body = m_engine->heartbeat(++m_sequence, m_born).dump();
  }
  const std::string address = m_context.addresses.controller(m_random);
  (void)call({"POST",
              m_context.cluster.controlUrl(address, "/Instances.Heartbeat/" + m_name),
              body,
              {},
              {},
              kCallSeconds});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
}

void EngineLife::restart() {
  const std::lock_guard lock(m_mutex);
  beginLife();
}

void EngineLife::beginLife() {
  m_behaviour.versions = m_engine->versions();
  m_engine.reset();
  m_engine = std::make_unique<StandInEngine>(m_name, m_behaviour);
  m_engine->endOn(kEndingPath);
  ++m_born;
  m_sequence = 0;
}

}  // namespace tackpick::test
