/// \file
/// In-memory file system that loses unsynced data in a crash.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "storage/file_system.h"

namespace tackpick::simulation {

/// Data directory of a simulated node. Bytes are durable once their file is synced, file names once
/// the directory is synced. crash() keeps all durable data and a random prefix of the unsynced
/// bytes of each file, like a torn write.
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

  /// Simulates a crash. Unsynced writes are lost, except for a random prefix in each file.
  void crash(base::Random& random);
  /// Simulates the loss of the disk: removes all files.
  void wipe();
  /// Makes all syncs fail until repair() is called.
  void failSyncs() { m_failSyncs = true; }
  void repair() { m_failSyncs = false; }
  /// Flips a bit in the first half of the largest file.
  void corrupt(base::Random& random);

 private:
  struct File {
    base::Bytes bytes;
    std::size_t syncedSize = 0;
  };
  using FilePtr = std::shared_ptr<File>;
  class OpenFile;

  [[nodiscard]] base::Result<FilePtr> find(const std::string& name) const;

  std::map<std::string, FilePtr> m_files;
  std::map<std::string, FilePtr> m_durableFiles;
  bool m_failSyncs = false;
};

}  // namespace tackpick::simulation
