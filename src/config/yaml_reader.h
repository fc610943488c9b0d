/// \file
/// Checked reading of YAML files: every problem is reported with file, line, path and what was
/// expected.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"

namespace tackpick::config {

/// Collects the problems found in one file.
class Problems {
 public:
  explicit Problems(std::string file) : file_(std::move(file)) {}

  void add(const YAML::Node& where, const std::string& path, const std::string& expected);
  [[nodiscard]] bool empty() const { return lines_.empty(); }
  /// One problem a line.
  [[nodiscard]] std::string text() const;

 private:
  std::string file_;
  std::vector<std::string> lines_;
};

/// Reads a mapping key by key; finish() reports the keys that nobody asked for.
class MappingReader {
 public:
  MappingReader(const YAML::Node& node, std::string path, Problems& problems);

  [[nodiscard]] bool has(const std::string& key) const;
  /// The child node, marked as read.
  YAML::Node child(const std::string& key);
  [[nodiscard]] std::string childPath(const std::string& key) const;
  std::string text(const std::string& key, const std::string& fallback);
  std::string requiredText(const std::string& key);
  std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum);
  double number(const std::string& key, double fallback, double minimum, double maximum);
  bool flag(const std::string& key, bool fallback);
  void problem(const std::string& key, const std::string& expected);
  void finish();

 private:
  YAML::Node node_;
  std::string path_;
  Problems& problems_;
  std::set<std::string> read_;
};

/// Parses a file. Fails with file and line when it is missing or not YAML.
[[nodiscard]] base::Result<YAML::Node> loadYaml(const std::string& file);

}  // namespace tackpick::config
