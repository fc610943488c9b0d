#include "config/declarations.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

class DeclarationReader {
 public:
  explicit DeclarationReader(std::vector<DeclaredNode>& nodes) : nodes_(nodes) {}

  void read(const YAML::Node& document, Problems& problems) {
    MappingReader reader(document, "", problems);
    const YAML::Node defaults = reader.child("defaults");
    if (defaults.IsDefined()) {
      addNode("", defaults, "defaults", problems);
    }
    const YAML::Node tenants = reader.child("tenants");
    if (tenants.IsDefined()) {
      readList(tenants, "", "tenants", problems);
    }
    reader.finish();
  }

 private:
  void readItem(const YAML::Node& item, const std::string& parent, const std::string& where,
                Problems& problems) {
    MappingReader reader(item, where + "[]", problems);
    const std::string name = reader.requiredText("name");
    const std::string path = parent.empty() ? name : parent + "/" + name;
    const YAML::Node settings = reader.child("settings");
    addNode(path, settings, where + "." + name + ".settings", problems);
    const YAML::Node workloads = reader.child("workloads");
    if (workloads.IsDefined()) {
      readList(workloads, path, where + "." + name + ".workloads", problems);
    }
    reader.finish();
  }

  void readList(const YAML::Node& list, const std::string& parent, const std::string& where,
                Problems& problems) {
    if (!list.IsSequence()) {
      problems.add(list, where, "expected a list");
      return;
    }
    for (const YAML::Node& item : list) {
      readItem(item, parent, where, problems);
    }
  }

  void addNode(const std::string& path, const YAML::Node& settings, const std::string& where,
               Problems& problems) {
    DeclaredNode node;
    node.path = path;
    if (settings.IsDefined() && !settings.IsNull()) {
      if (!settings.IsMap()) {
        problems.add(settings, where, "expected a mapping");
        return;
      }
      for (const auto& entry : settings) {
        readSetting(entry.first, entry.second, where, node, problems);
      }
    }
    if (!seen_.insert(path).second) {
      problems.add(settings, where, "the node is declared twice");
      return;
    }
    nodes_.push_back(std::move(node));
  }

  static void readSetting(const YAML::Node& name, const YAML::Node& value, const std::string& where,
                          DeclaredNode& node, Problems& problems) {
    const auto key = control::findSettingKey(name.as<std::string>(""));
    if (!key) {
      problems.add(name, where + "." + name.as<std::string>(""), "no such setting");
      return;
    }
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(parsed, parseSetting(*key, value.as<std::string>("")));
          node.values[*key] = parsed;
          return 0;
        },
        [&](const base::Error& error) {
          problems.add(value, where, error.message);
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
  if (const auto problem = control::validateSetting(key, value)) {
    return base::fail(base::ErrorCode::kInvalidInput, *problem);
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
  std::string problemText;
  for (const std::string& file : files) {
    BOOST_LEAF_AUTO(document, loadYaml(file));
    Problems problems(file);
    reader.read(document, problems);
    problemText += problems.text();
  }
  if (!problemText.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, problemText);
  }
  return nodes;
}

}  // namespace tackpick::config
