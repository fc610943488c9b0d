#include "control/settings_tree.h"

namespace tackpick::control {

std::optional<std::string> parentPath(std::string_view path) {
  if (path.empty()) {
    return std::nullopt;
  }
  const std::size_t slash = path.rfind('/');
  return slash == std::string_view::npos ? std::string() : std::string(path.substr(0, slash));
}

const SettingsNode* SettingsTree::findIncludingRemoved(const std::string& path) const {
  const auto found = nodes_.find(path);
  return found == nodes_.end() ? nullptr : &found->second;
}

const SettingsNode* SettingsTree::find(const std::string& path) const {
  const SettingsNode* node = findIncludingRemoved(path);
  return node == nullptr || node->removed ? nullptr : node;
}

EffectiveSetting SettingsTree::effective(const std::string& path, SettingKey key) const {
  std::optional<std::string> current = path;
  while (current) {
    const SettingsNode* node = find(*current);
    if (node != nullptr) {
      const auto value = node->values.find(key);
      if (value != node->values.end()) {
        return {value->second, *current, false, node->revision};
      }
    }
    current = parentPath(*current);
  }
  return {settingSpec(key).defaultValue, {}, true, {}};
}

std::int64_t SettingsTree::integer(const std::string& path, SettingKey key) const {
  return std::get<std::int64_t>(effective(path, key).value);
}

bool SettingsTree::flag(const std::string& path, SettingKey key) const {
  return std::get<bool>(effective(path, key).value);
}

std::string SettingsTree::text(const std::string& path, SettingKey key) const {
  return std::get<std::string>(effective(path, key).value);
}

bool SettingsTree::hasChildren(const std::string& path) const {
  for (const auto& [candidate, node] : nodes_) {
    if (!node.removed && parentPath(candidate) == path) {
      return true;
    }
  }
  return false;
}

}  // namespace tackpick::control
