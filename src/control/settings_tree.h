/// \file
/// Inheritance of settings: a value set on a node reaches all nodes beneath that do not set it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control/control_delta.h"

namespace tackpick::control {

/// The path of the node above; nothing for the root.
[[nodiscard]] std::optional<std::string> parentPath(std::string_view path);

/// An effective value and the node that sets it.
struct EffectiveSetting {
  SettingValue value;
  std::string source;       ///< path of the node; meaningless when isDefault
  bool isDefault = false;   ///< no node sets it
  base::Revision revision;  ///< of the node that sets it
};

/// The tree of settings nodes, by path.
class SettingsTree {
 public:
  /// Inserts or replaces a node, tombstones included.
  void put(SettingsNode node) { nodes_[node.path] = std::move(node); }
  void erase(const std::string& path) { nodes_.erase(path); }
  /// The node, unless absent or removed.
  [[nodiscard]] const SettingsNode* find(const std::string& path) const;
  /// The node or its tombstone.
  [[nodiscard]] const SettingsNode* findAny(const std::string& path) const;
  [[nodiscard]] EffectiveSetting effective(const std::string& path, SettingKey key) const;
  [[nodiscard]] std::int64_t integer(const std::string& path, SettingKey key) const;
  [[nodiscard]] bool flag(const std::string& path, SettingKey key) const;
  [[nodiscard]] std::string text(const std::string& path, SettingKey key) const;
  /// True when a live node has `path` as its parent.
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
