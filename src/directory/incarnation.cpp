#include "directory/incarnation.h"

#include <charconv>

namespace tackpick::directory {
namespace {

/// Digits of a start time in a key, enough for any value, so that keys sort by start time.
constexpr std::size_t kStartTimeDigits = 20;

}  // namespace

std::string Incarnation::key() const {
  if (startTime == 0) {
    return name;
  }
  const std::string digits = std::to_string(startTime);
  return name + kSeparator + std::string(kStartTimeDigits - digits.size(), '0') + digits;
}

Incarnation Incarnation::parse(std::string_view key) {
  const std::size_t separator = key.rfind(kSeparator);
  if (separator == std::string_view::npos) {
    return {std::string(key), 0};
  }
  const std::string_view digits = key.substr(separator + 1);
  Incarnation parsed{std::string(key.substr(0, separator)), 0};
  std::from_chars(digits.data(), digits.data() + digits.size(), parsed.startTime);
  return parsed;
}

std::string firstKey(const std::string& name) { return name + Incarnation::kSeparator; }

std::string endOfKeys(const std::string& name) {
  return name + static_cast<char>(Incarnation::kSeparator + 1);
}

std::string instanceName(std::string_view key) {
  return std::string(key.substr(0, key.rfind(Incarnation::kSeparator)));
}

}  // namespace tackpick::directory
