/// \file
/// The few file operations that durable state needs, so that the simulator can stand in for a disk
/// that loses unsynced writes, tears the last record, fills up or vanishes.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/serialization.h"

namespace tackpick::storage {

/// A file open for appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  [[nodiscard]] virtual base::Result<void> append(std::string_view bytes) = 0;
  /// Makes all appended bytes durable (fdatasync).
  [[nodiscard]] virtual base::Result<void> sync() = 0;
};

/// Paths are relative to the data folder. Names become durable at syncDirectory().
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Names of the files, sorted.
  [[nodiscard]] virtual base::Result<std::vector<std::string>> list() = 0;
  [[nodiscard]] virtual base::Result<base::Bytes> read(const std::string& name) = 0;
  /// Up to `size` bytes from `offset` on; fewer at the end of the file.
  [[nodiscard]] virtual base::Result<base::Bytes> readRange(const std::string& name,
                                                            std::size_t offset,
                                                            std::size_t size) = 0;
  /// Opens for appending, creating the file when absent.
  [[nodiscard]] virtual base::Result<std::unique_ptr<AppendFile>> open(const std::string& name) = 0;
  [[nodiscard]] virtual base::Result<void> truncate(const std::string& name, std::size_t size) = 0;
  [[nodiscard]] virtual base::Result<void> rename(const std::string& from,
                                                  const std::string& to) = 0;
  [[nodiscard]] virtual base::Result<void> remove(const std::string& name) = 0;
  [[nodiscard]] virtual base::Result<void> syncDirectory() = 0;
};

/// Writes `bytes` under `name` so that after a crash the file holds either the old or the new
/// content: temporary file, sync, rename, directory sync. `rest`, if any, follows `bytes`.
[[nodiscard]] base::Result<void> writeFileAtomically(FileSystem& files, const std::string& name,
                                                     std::string_view bytes,
                                                     std::string_view rest = {});

}  // namespace tackpick::storage
