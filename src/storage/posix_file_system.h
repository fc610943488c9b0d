/// \file
/// FileSystem on a real directory.
#pragma once

#include <string>

#include "storage/file_system.h"

namespace tackpick::storage {

/// Data directory of one role.
class PosixFileSystem final : public FileSystem {
 public:
  /// Opens the directory and creates it, with its parents, if it does not exist.
  [[nodiscard]] static base::Result<std::unique_ptr<PosixFileSystem>> create(std::string directory);

  [[nodiscard]] base::Result<std::vector<std::string>> list() override;
  [[nodiscard]] base::Result<base::Bytes> read(const std::string& name) override;
  [[nodiscard]] base::Result<base::Bytes> readRange(const std::string& name, std::size_t offset,
                                                    std::size_t size) override;
  [[nodiscard]] base::Result<std::unique_ptr<AppendFile>> open(const std::string& name) override;
  [[nodiscard]] base::Result<void> truncate(const std::string& name, std::size_t size) override;
  [[nodiscard]] base::Result<void> rename(const std::string& from, const std::string& to) override;
  [[nodiscard]] base::Result<void> remove(const std::string& name) override;
  [[nodiscard]] base::Result<void> syncDirectory() override;

 private:
  explicit PosixFileSystem(std::string directory) : m_directory(std::move(directory)) {}
  [[nodiscard]] std::string path(const std::string& name) const { return m_directory + "/" + name; }

  std::string m_directory;
};

}  // namespace tackpick::storage
