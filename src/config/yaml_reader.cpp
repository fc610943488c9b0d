#include "config/yaml_reader.h"

#include <fstream>
#include <sstream>

namespace tackpick::config {

void ConfigErrors::add(const YAML::Node& errorNode, const std::string& path,
                       const std::string& expected) {
  const int line = errorNode.Mark().line;
  const std::string lineSuffix = line >= 0 ? ":" + std::to_string(line + 1) : "";
  m_messages.push_back(file_ + lineSuffix + ": " + path + ": " + expected);
}

std::string ConfigErrors::toString() const {
  std::string all;
  for (const std::string& line : m_messages) {
    all += line + "\n";
  }
  return all;
}

MappingReader::MappingReader(const YAML::Node& node, std::string path, ConfigErrors& errors)
    : node_(node), path_(std::move(path)), m_errors(errors) {
  if (!node_.IsMap()) {
    m_errors.add(node_, path_, "expected a mapping");
    node_ = YAML::Node(YAML::NodeType::Map);
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!seen.insert(key).second) {
      m_errors.add(entry.first, childPath(key), "duplicate key");
    }
  }
}

bool MappingReader::has(const std::string& key) const {
  return static_cast<bool>(static_cast<const YAML::Node&>(node_)[key]);
}

YAML::Node MappingReader::child(const std::string& key) {
  m_readKeys.insert(key);
  return node_[key];
}

std::string MappingReader::childPath(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void MappingReader::addError(const std::string& key, const std::string& expected) {
  m_errors.add(has(key) ? node_[key] : node_, childPath(key), expected);
}

std::string MappingReader::getString(const std::string& key, const std::string& fallback) {
  m_readKeys.insert(key);
  if (!has(key)) {
    return fallback;
  }
  if (!node_[key].IsScalar()) {
    addError(key, "expected a string");
    return fallback;
  }
  return node_[key].Scalar();
}

std::string MappingReader::getRequiredString(const std::string& key) {
  std::string value = getString(key, "");
  if (value.empty()) {
    addError(key, "expected a string; the key is required");
  }
  return value;
}

std::int64_t MappingReader::getInteger(const std::string& key, std::int64_t fallback,
                                       std::int64_t min, std::int64_t max) {
  m_readKeys.insert(key);
  if (!has(key)) {
    return fallback;
  }
  std::int64_t value = 0;
  const bool valid =
      node_[key].IsScalar() && YAML::convert<std::int64_t>::decode(node_[key], value);
  if (!valid || value < min || value > max) {
    addError(key, "expected an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return value;
}

double MappingReader::getDouble(const std::string& key, double fallback, double min, double max) {
  m_readKeys.insert(key);
  if (!has(key)) {
    return fallback;
  }
  double value = 0;
  const bool valid = node_[key].IsScalar() && YAML::convert<double>::decode(node_[key], value);
  if (!valid || !(value >= min && value <= max)) {
    std::ostringstream expected;
    expected << "expected a number from " << min << " to " << max;
    addError(key, expected.str());
    return fallback;
  }
  return value;
}

bool MappingReader::getBool(const std::string& key, bool fallback) {
  m_readKeys.insert(key);
  if (!has(key)) {
    return fallback;
  }
  bool value = fallback;
  if (!node_[key].IsScalar() || !YAML::convert<bool>::decode(node_[key], value)) {
    addError(key, "expected true or false");
  }
  return value;
}

void MappingReader::rejectUnknownKeys() {
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!m_readKeys.contains(key)) {
      m_errors.add(entry.first, childPath(key), "unknown key");
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
