#include "config/declarations.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

/// Reads declaration files and appends the declared nodes to a list.
class DeclarationReader {
 public:
  explicit DeclarationReader(std::vector<DeclaredNode>& nodes) : nodes_(nodes) {}

  void read(const YAML::Node& document, ConfigErrors& errors) {
    MappingReader reader(document, "", errors);
    const YAML::Node defaults = reader.child("defaults");
    if (defaults.IsDefined()) {
      addNode("", defaults, "defaults", errors);
    }
    const YAML::Node tenants = reader.child("tenants");
    if (tenants.IsDefined()) {
      readList(tenants, "", "tenants", errors);
    }
    reader.rejectUnknownKeys();
  }

 private:
  void readItem(const YAML::Node& item, const std::string& parent, const std::string& location,
                ConfigErrors& errors) {
    MappingReader reader(item, location + "[]", errors);
    const std::string name = reader.getRequiredString("name");
    const std::string path = parent.empty() ? name : parent + "/" + name;
    const YAML::Node settings = reader.child("settings");
    addNode(path, settings, location + "." + name + ".settings", errors);
    const YAML::Node workloads = reader.child("workloads");
    if (workloads.IsDefined()) {
      readList(workloads, path, location + "." + name + ".workloads", errors);
    }
    reader.rejectUnknownKeys();
  }

  void readList(const YAML::Node& list, const std::string& parent, const std::string& location,
                ConfigErrors& errors) {
    if (!list.IsSequence()) {
      errors.add(list, location, "expected a list");
      return;
    }
    for (const YAML::Node& item : list) {
      readItem(item, parent, location, errors);
    }
  }

  void addNode(const std::string& path, const YAML::Node& settings, const std::string& location,
               ConfigErrors& errors) {
    DeclaredNode node;
    node.path = path;
    if (settings.IsDefined() && !settings.IsNull()) {
      if (!settings.IsMap()) {
        errors.add(settings, location, "expected a mapping");
        return;
      }
      for (const auto& entry : settings) {
        readSetting(entry.first, entry.second, location, node, errors);
      }
    }
    if (!seen_.insert(path).second) {
      errors.add(settings, location, "the node is declared twice");
      return;
    }
    nodes_.push_back(std::move(node));
  }

  static void readSetting(const YAML::Node& name, const YAML::Node& value,
                          const std::string& location, DeclaredNode& node, ConfigErrors& errors) {
    const auto key = control::findSettingKey(name.as<std::string>(""));
    if (!key) {
      errors.add(name, location + "." + name.as<std::string>(""), "no such setting");
      return;
    }
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(parsed, parseSetting(*key, value.as<std::string>("")));
          node.values[*key] = parsed;
          return 0;
        },
        [&](const base::Error& error) {
          errors.add(value, location, error.message);
          return 0;
        });
  }

  std::vector<DeclaredNode>& nodes_;
  std::set<std::string> seen_;
};

}  // namespace

base::Result<control::SettingValue> parseSetting(control::SettingKey key, const std::string& text) {
  const control::SettingSpec& specification = control::settingSpec(key);
  control::SettingValue value = text;
  const YAML::Node scalar(text);
  if (std::holds_alternative<bool>(specification.defaultValue)) {
    bool flag = false;
    if (YAML::convert<bool>::decode(scalar, flag)) {
      value = flag;
    }
  } else if (std::holds_alternative<std::int64_t>(specification.defaultValue)) {
    std::int64_t number = 0;
    if (YAML::convert<std::int64_t>::decode(scalar, number)) {
      value = number;
    }
  }
  if (const auto errorMessage = control::validateSetting(key, value)) {
    return base::fail(base::ErrorCode::kInvalidInput, *errorMessage);
  }
  return value;
}

base::Result<std::vector<DeclaredNode>> loadDeclarations(const std::string& path) {
  namespace filesystem = std::filesystem;
  std::vector<std::string> files;
  std::error_code error;
  if (filesystem::is_directory(path, error)) {
    for (const auto& entry : filesystem::directory_iterator(path, error)) {
      if (entry.path().extension() == ".yaml") {
        files.push_back(entry.path().string());
      }
    }
    std::sort(files.begin(), files.end());
  } else {
    files.push_back(path);
  }
  if (files.empty()) {
    return base::fail(base::ErrorCode::kNotFound, path + ": no .yaml file");
  }
  std::vector<DeclaredNode> nodes;
  DeclarationReader reader(nodes);
  std::string errorText;
  for (const std::string& file : files) {
    BOOST_LEAF_AUTO(document, loadYaml(file));
    ConfigErrors errors(file);
    reader.read(document, errors);
    errorText += errors.toString();
  }
  if (!errorText.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, errorText);
  }
  return nodes;
}

}  // namespace tackpick::config
