/// \file
/// Records of the control state, and the difference between two revisions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "control/settings.h"

namespace tackpick::control {

/// A node of the settings tree: the root (""), a tenant ("t") or a workload ("t/w").
struct SettingsNode {
  std::string path;
  base::Revision revision;  ///< of the last change to this node
  bool removed = false;     ///< a tombstone, kept so that deltas can report the removal
  std::map<SettingKey, SettingValue> values;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, revision, removed, values);
  }
};

/// An engine in the control state.
struct EngineRecord {
  base::EngineId engine;
  base::Revision revision;
  base::Incarnation incarnation;
  std::string host;
  std::uint16_t port = 0;
  std::string zone;
  std::string model;
  bool drained = false;   ///< drained by an operator
  bool draining = false;  ///< reported by the machine list; never reset for the same incarnation
  bool removed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, revision, incarnation, host, port, zone, model, drained, draining, removed);
  }
};

/// The newest published weights of a model.
struct WeightsRecord {
  std::string model;
  base::Revision revision;
  base::WeightsVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, revision, version);
  }
};

enum class CredentialRole : std::uint8_t { kCaller, kTrainer, kOperator };

/// Hash and permissions of a bearer token.
struct CredentialRecord {
  std::string tokenHash;  ///< SHA-256, hexadecimal
  base::Revision revision;
  CredentialRole role = CredentialRole::kCaller;
  base::TenantName tenant;  ///< empty for operators
  bool removed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tokenHash, revision, role, tenant, removed);
  }
};

/// Changes after revision `from` up to and including `to`. Applying them to any revision in [from,
/// to] gives exactly `to`. If `full` is set they replace the receiver's state.
struct ControlDelta {
  base::Revision from;
  base::Revision to;
  bool full = false;
  std::vector<SettingsNode> nodes;
  std::vector<EngineRecord> engines;
  std::vector<WeightsRecord> weights;
  std::vector<CredentialRecord> credentials;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, to, full, nodes, engines, weights, credentials);
  }
};

}  // namespace tackpick::control
