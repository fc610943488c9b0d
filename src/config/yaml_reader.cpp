#include "config/yaml_reader.h"

#include <fstream>
#include <sstream>

namespace tackpick::config {

void Problems::add(const YAML::Node& where, const std::string& path, const std::string& expected) {
  const int line = where.Mark().line;
  const std::string place = line >= 0 ? ":" + std::to_string(line + 1) : "";
  lines_.push_back(file_ + place + ": " + path + ": " + expected);
}

std::string Problems::text() const {
  std::string all;
  for (const std::string& line : lines_) {
    all += line + "\n";
  }
  return all;
}

MappingReader::MappingReader(const YAML::Node& node, std::string path, Problems& problems)
    : node_(node), path_(std::move(path)), problems_(problems) {
  if (!node_.IsMap()) {
    problems_.add(node_, path_, "expected a mapping");
    node_ = YAML::Node(YAML::NodeType::Map);
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!seen.insert(key).second) {
      problems_.add(entry.first, childPath(key), "the key stands twice");
    }
  }
}

bool MappingReader::has(const std::string& key) const {
  return static_cast<bool>(static_cast<const YAML::Node&>(node_)[key]);
}

YAML::Node MappingReader::child(const std::string& key) {
  read_.insert(key);
  return node_[key];
}

std::string MappingReader::childPath(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void MappingReader::problem(const std::string& key, const std::string& expected) {
  problems_.add(has(key) ? node_[key] : node_, childPath(key), expected);
}

std::string MappingReader::text(const std::string& key, const std::string& fallback) {
  read_.insert(key);
  if (!has(key)) {
    return fallback;
  }
  if (!node_[key].IsScalar()) {
    problem(key, "expected a text");
    return fallback;
  }
  return node_[key].Scalar();
}

std::string MappingReader::requiredText(const std::string& key) {
  std::string value = text(key, "");
  if (value.empty()) {
    problem(key, "expected a text; it is required");
  }
  return value;
}

std::int64_t MappingReader::integer(const std::string& key, std::int64_t fallback,
                                    std::int64_t minimum, std::int64_t maximum) {
  read_.insert(key);
  if (!has(key)) {
    return fallback;
  }
  std::int64_t value = 0;
  const bool valid =
      node_[key].IsScalar() && YAML::convert<std::int64_t>::decode(node_[key], value);
  if (!valid || value < minimum || value > maximum) {
    problem(key, "expected an integer from " + std::to_string(minimum) + " to " +
                     std::to_string(maximum));
    return fallback;
  }
  return value;
}

double MappingReader::number(const std::string& key, double fallback, double minimum,
                             double maximum) {
  read_.insert(key);
  if (!has(key)) {
    return fallback;
  }
  double value = 0;
  const bool valid = node_[key].IsScalar() && YAML::convert<double>::decode(node_[key], value);
  if (!valid || !(value >= minimum && value <= maximum)) {
    std::ostringstream expected;
    expected << "expected a number from " << minimum << " to " << maximum;
    problem(key, expected.str());
    return fallback;
  }
  return value;
}

bool MappingReader::flag(const std::string& key, bool fallback) {
  read_.insert(key);
  if (!has(key)) {
    return fallback;
  }
  bool value = fallback;
  if (!node_[key].IsScalar() || !YAML::convert<bool>::decode(node_[key], value)) {
    problem(key, "expected true or false");
  }
  return value;
}

void MappingReader::finish() {
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!read_.contains(key)) {
      problems_.add(entry.first, childPath(key), "unknown key");
    }
  }
}

base::Result<YAML::Node> loadYaml(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return base::fail(base::ErrorCode::kNotFound, file + ": cannot be read");
  }
  try {
    return YAML::Load(stream);
  } catch (const YAML::Exception& error) {
    return base::fail(
        base::ErrorCode::kInvalidInput,
        file + ":" + std::to_string(error.mark.line + 1) + ": not valid YAML: " + error.msg);
  }
}

}  // namespace tackpick::config
