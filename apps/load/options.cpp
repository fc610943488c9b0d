#include "options.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace tackpick::load {
namespace {

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

LoadProfile zoekwerk() {
  LoadProfile profile;
  profile.callers = {{"search", 25.0, 24.0, 0.0, base::seconds(10)}};
  TrainerWorkload rewrites{"query-rewrites", 64, 20.0, 1.5, 300.0, 6, 1, base::milliseconds(1500)};
  TrainerWorkload summaries{"snippet-summaries",     48, 50.0, 1.25, 900.0, 6, 1,
                            base::milliseconds(2500)};
  profile.trainers = {rewrites, summaries};
  return profile;
}

LoadProfile straitFerry() {
  LoadProfile profile;
  profile.callers = {{"seat-holds", 10.0, 16.0, 1.0, base::seconds(8)},
                     {"boarding-checks", 10.0, 8.0, 0.0, base::seconds(5)},
                     {"travel-agents", 6.0, 32.0, 0.3, base::seconds(10)}};
  profile.trainers = {{"fare-replies", 96, 40.0, 1.3, 900.0, 2, 1, base::seconds(2)}};
  return profile;
}

LoadProfile findProfile(const std::string& name) {
  if (name == "zoekwerk") {
    return zoekwerk();
  }
  if (name == "strait-ferry") {
    return straitFerry();
  }
  throw std::invalid_argument("--profile: expected zoekwerk or strait-ferry");
}

}  // namespace

Options parseOptions(int argc, char** argv) {
  cxxopts::Options parser("tackpick-load", "Callers and trainers that check every response");
  parser.add_options()("gateways", "URLs of the gateways", cxxopts::value<std::string>())(
      "caller-token", "bearer token of the callers", cxxopts::value<std::string>())(
      "trainer-token", "bearer token of the trainers", cxxopts::value<std::string>())(
      "scorer", "URL of the scorer", cxxopts::value<std::string>()->default_value(""))(
      "engine-admins", "admin URLs of the emulators, for their execution records",
      cxxopts::value<std::string>()->default_value(""))(
      "profile", "zoekwerk or strait-ferry",
      cxxopts::value<std::string>()->default_value("zoekwerk"))(
      "seconds", "duration of the load in seconds", cxxopts::value<double>()->default_value("20"))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scale", "factor of the callers' request rates",
      cxxopts::value<double>()->default_value("1"))(
      "report", "file for the report as JSON", cxxopts::value<std::string>()->default_value(""))(
      "help", "show this text");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  Options options;
  options.gateways = split(parsed["gateways"].as<std::string>());
  options.callerToken = parsed["caller-token"].as<std::string>();
  options.trainerToken = parsed["trainer-token"].as<std::string>();
  options.scorerUrl = parsed["scorer"].as<std::string>();
  options.engineAdminUrls = split(parsed["engine-admins"].as<std::string>());
  options.profile = findProfile(parsed["profile"].as<std::string>());
  constexpr double kMicrosecondsPerSecond = 1e6;
  options.duration = base::Duration(
      static_cast<base::Duration::rep>(parsed["seconds"].as<double>() * kMicrosecondsPerSecond));
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.rateScale = parsed["scale"].as<double>();
  options.reportFile = parsed["report"].as<std::string>();
  return options;
}

}  // namespace tackpick::load
