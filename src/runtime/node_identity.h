/// \file
/// Which node a data directory belongs to.
#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "config/process_settings.h"
#include "storage/file_system.h"

namespace tackpick::runtime {

/// How an empty data directory of a replica is to be treated.
enum class DirectoryMode {
  kMustExist,   ///< it must not be empty
  kInitialise,  ///< a new cluster: the nodes of the settings are its first voters
  kJoin,        ///< a new node of an existing group: it knows no member and never votes
};

/// What stands in the `node` file of a data directory.
struct NodeIdentity {
  std::string cluster;
  std::uint64_t node = 0;
  std::uint64_t incarnation = 0;  ///< of the latest run

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, node, incarnation);
  }
};

/// Reads the directory's identity, or gives an empty directory one, and begins a new incarnation.
/// Fails when the directory belongs to another node or cluster, or is empty and must not be.
[[nodiscard]] base::Result<NodeIdentity> loadNodeIdentity(storage::FileSystem& directory,
                                                          const config::ProcessSettings& settings,
                                                          DirectoryMode mode);

/// Wall clock, microseconds since 1970.
[[nodiscard]] std::uint64_t unixMicroseconds();
/// A number that nobody can guess.
[[nodiscard]] std::uint64_t secureRandomUint64();

}  // namespace tackpick::runtime
