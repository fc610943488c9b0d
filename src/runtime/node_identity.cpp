#include "runtime/node_identity.h"

#include <algorithm>
#include <chrono>
#include <cstring>

#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

const std::string kIdentityFile = "node";

/// Returns a new identity for an empty directory.
base::Result<NodeIdentity> createIdentity(const config::ProcessSettings& settings,
                                          DirectoryMode mode) {
  const bool replica = settings.roles.contains(config::ProcessRole::kController) ||
                       settings.roles.contains(config::ProcessRole::kLedger);
  if (mode == DirectoryMode::kMustExist && replica) {
    return base::fail(base::ErrorCode::kNotFound,
                      settings.dataDirectory +
                          ": empty; start once with --init for a new cluster, or with --join to "
                          "replace a lost node");
  }
  // The initial voters of a cluster have instance 0, so that settings can refer to them.
  constexpr std::uint32_t kInstanceMask = 0xffffffffU;
  const bool joins = mode == DirectoryMode::kJoin;
  const auto instance =
      joins ? (static_cast<std::uint32_t>(secureRandomUint64() & kInstanceMask) | 1U) : 0U;
  NodeIdentity identity;
  identity.cluster = settings.cluster;
  identity.node = base::makeNodeId(settings.node, instance).value;
  return identity;
}

base::Result<NodeIdentity> readIdentity(storage::FileSystem& directory,
                                        const config::ProcessSettings& settings) {
  BOOST_LEAF_AUTO(bytes, directory.read(kIdentityFile));
  const auto stored = base::decode<NodeIdentity>(bytes);
  if (!stored || stored->cluster != settings.cluster ||
      base::nodeNumber({stored->node}) != settings.node) {
    return base::fail(base::ErrorCode::kWrongIdentity,
                      settings.dataDirectory + ": belongs to another node or cluster");
  }
  return *stored;
}

}  // namespace

base::Result<NodeIdentity> loadNodeIdentity(storage::FileSystem& directory,
                                            const config::ProcessSettings& settings,
                                            DirectoryMode mode) {
  BOOST_LEAF_AUTO(names, directory.list());
  const bool hasIdentity = std::find(names.begin(), names.end(), kIdentityFile) != names.end();
  BOOST_LEAF_AUTO(identity,
                  hasIdentity ? readIdentity(directory, settings) : createIdentity(settings, mode));
  identity.incarnation = std::max(identity.incarnation + 1, unixMicroseconds());
  BOOST_LEAF_CHECK(storage::writeFileAtomically(directory, kIdentityFile, base::encode(identity)));
  return identity;
}

std::uint64_t unixMicroseconds() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::uint64_t secureRandomUint64() {
  const base::Bytes bytes = transport::randomBytes(sizeof(std::uint64_t));
  std::uint64_t number = 0;
  std::memcpy(&number, bytes.data(), sizeof(number));
  return number;
}

}  // namespace tackpick::runtime
