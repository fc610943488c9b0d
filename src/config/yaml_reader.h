/// \file
/// Validating YAML reader that reports every error with file, line, path and expected value.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"

namespace tackpick::config {

/// Collects the errors found in one file.
class ConfigErrors {
 public:
  explicit ConfigErrors(std::string file) : file_(std::move(file)) {}

  void add(const YAML::Node& errorNode, const std::string& path, const std::string& expected);
  [[nodiscard]] bool empty() const { return m_messages.empty(); }
  /// Returns the errors, one per line.
  [[nodiscard]] std::string toString() const;

 private:
  std::string file_;
  std::vector<std::string> m_messages;
};

/// Reads the values of a mapping. rejectUnknownKeys() reports the keys that were not read. Invalid
/// values are reported as errors and replaced by the fallback.
class MappingReader {
 public:
  MappingReader(const YAML::Node& node, std::string path, ConfigErrors& errors);

  [[nodiscard]] bool has(const std::string& key) const;
  /// Returns the child node and marks its key as read.
  YAML::Node child(const std::string& key);
  [[nodiscard]] std::string childPath(const std::string& key) const;
  std::string getString(const std::string& key, const std::string& fallback);
  std::string getRequiredString(const std::string& key);
  std::int64_t getInteger(const std::string& key, std::int64_t fallback, std::int64_t min,
                          std::int64_t max);
  double getDouble(const std::string& key, double fallback, double min, double max);
  bool getBool(const std::string& key, bool fallback);
  void addError(const std::string& key, const std::string& expected);
  void rejectUnknownKeys();

 private:
  YAML::Node node_;
  std::string path_;
  ConfigErrors& m_errors;
  std::set<std::string> m_readKeys;
};

/// Parses a YAML file. The error message contains the file and, for syntax errors, the line.
[[nodiscard]] base::Result<YAML::Node> loadYaml(const std::string& file);

}  // namespace tackpick::config
