/// \file
/// Tree of settings with inheritance: a value set on a node applies to all descendants that do not
/// set it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control/control_delta.h"

namespace tackpick::control {

/// Returns the path of the parent node; std::nullopt for the root.
[[nodiscard]] std::optional<std::string> parentPath(std::string_view path);

/// An effective value and the node that sets it.
struct EffectiveSetting {
  SettingValue value;
  std::string source;       ///< path of the node; unused if isDefault
  bool isDefault = false;   ///< the value is the default
  base::Revision revision;  ///< revision of the node that sets the value
};

/// Settings nodes by path.
class SettingsTree {
 public:
  /// Inserts or replaces a node or tombstone.
  void put(SettingsNode node) { nodes_[node.path] = std::move(node); }
  void erase(const std::string& path) { nodes_.erase(path); }
  /// Returns the node, or nullptr if it does not exist or was removed.
  [[nodiscard]] const SettingsNode* find(const std::string& path) const;
  /// Returns the node or its tombstone, or nullptr.
  [[nodiscard]] const SettingsNode* findIncludingRemoved(const std::string& path) const;
  [[nodiscard]] EffectiveSetting effective(const std::string& path, SettingKey key) const;
  [[nodiscard]] std::int64_t integer(const std::string& path, SettingKey key) const;
  [[nodiscard]] bool flag(const std::string& path, SettingKey key) const;
  [[nodiscard]] std::string text(const std::string& path, SettingKey key) const;
  /// Whether a node that was not removed has `path` as its parent.
  [[nodiscard]] bool hasChildren(const std::string& path) const;
  [[nodiscard]] const std::map<std::string, SettingsNode>& nodes() const { return nodes_; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nodes_);
  }

 private:
  std::map<std::string, SettingsNode> nodes_;
};

}  // namespace tackpick::control
