/// \file
/// Identity of the node that a data directory belongs to.
#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "config/process_settings.h"
#include "storage/file_system.h"

namespace tackpick::runtime {

/// How an empty data directory of a replica is treated.
enum class DirectoryMode {
  kMustExist,   ///< an empty directory is an error
  kInitialise,  ///< creates a new cluster with the nodes in the settings as its initial voters
  kJoin,        ///< joins existing groups without voting and without an initial membership
};

/// Content of the `node` file of a data directory.
struct NodeIdentity {
  std::string cluster;
  std::uint64_t node = 0;
  std::uint64_t incarnation = 0;  ///< of the latest run

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, node, incarnation);
  }
};

/// Reads the identity in the directory, or creates one if the directory is empty, and starts a new
/// incarnation. Fails if the directory belongs to another node or cluster, or if it is empty and
/// the mode is kMustExist.
[[nodiscard]] base::Result<NodeIdentity> loadNodeIdentity(storage::FileSystem& directory,
                                                          const config::ProcessSettings& settings,
                                                          DirectoryMode mode);

/// Returns the wall-clock time in microseconds since 1970.
[[nodiscard]] std::uint64_t unixMicroseconds();
/// Returns a cryptographically secure random number.
[[nodiscard]] std::uint64_t secureRandomUint64();

}  // namespace tackpick::runtime
