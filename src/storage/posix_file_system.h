/// \file
/// FileSystem on a real directory.
#pragma once

#include <string>

#include "storage/file_system.h"

namespace tackpick::storage {

/// The data folder of one role. Created, with its parents, when absent.
class PosixFileSystem final : public FileSystem {
 public:
  [[nodiscard]] static base::Result<std::unique_ptr<PosixFileSystem>> create(std::string folder);

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
  explicit PosixFileSystem(std::string folder) : folder_(std::move(folder)) {}
  [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
};

}  // namespace tackpick::storage
