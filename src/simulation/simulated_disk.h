/// \file
/// A data folder in memory that forgets what was not synced.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "storage/file_system.h"

namespace tackpick::simulation {

/// Implements storage::FileSystem. Bytes are durable once their file is synced, names once the
/// directory is. crash() keeps what is durable and, of the rest, a random part of the bytes that
/// were appended last, as a torn write does.
class SimulatedDisk final : public storage::FileSystem {
 public:
  [[nodiscard]] base::Result<std::vector<std::string>> list() override;
  [[nodiscard]] base::Result<base::Bytes> read(const std::string& name) override;
  [[nodiscard]] base::Result<base::Bytes> readRange(const std::string& name, std::size_t offset,
                                                    std::size_t size) override;
  [[nodiscard]] base::Result<std::unique_ptr<storage::AppendFile>> open(
      const std::string& name) override;
  [[nodiscard]] base::Result<void> truncate(const std::string& name, std::size_t size) override;
  [[nodiscard]] base::Result<void> rename(const std::string& from, const std::string& to) override;
  [[nodiscard]] base::Result<void> remove(const std::string& name) override;
  [[nodiscard]] base::Result<void> syncDirectory() override;

  /// The process died: unsynced writes are lost, but for a random part of each file's tail.
  void crash(base::Random& random);
  /// The disk is lost.
  void wipe();
  /// From now on every sync fails, as on a full or broken disk, until repair().
  void failSyncs() { failing_ = true; }
  void repair() { failing_ = false; }
  /// Flips a bit in the middle of the longest file.
  void damage(base::Random& random);

 private:
  struct File {
    base::Bytes bytes;
    std::size_t syncedSize = 0;
  };
  using FilePointer = std::shared_ptr<File>;
  class OpenFile;

  [[nodiscard]] base::Result<FilePointer> find(const std::string& name) const;

  std::map<std::string, FilePointer> names_;
  std::map<std::string, FilePointer> durable_names_;
  bool failing_ = false;
};

}  // namespace tackpick::simulation
