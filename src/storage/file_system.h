/// \file
/// Interface of the file operations for durable state, so that the simulator can replace the disk
/// by one that loses unsynced writes, tears the last record, fills up or disappears.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/serialization.h"

namespace tackpick::storage {

/// A file opened for appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  [[nodiscard]] virtual base::Result<void> append(std::string_view bytes) = 0;
  /// Makes all appended bytes durable (fdatasync).
  [[nodiscard]] virtual base::Result<void> sync() = 0;
};

/// File operations in the data directory. Created, renamed and removed names become durable with
/// syncDirectory().
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Returns the names of all files, sorted.
  [[nodiscard]] virtual base::Result<std::vector<std::string>> list() = 0;
  [[nodiscard]] virtual base::Result<base::Bytes> read(const std::string& name) = 0;
  /// Returns `size` bytes starting at `offset`, fewer at the end of the file.
  [[nodiscard]] virtual base::Result<base::Bytes> readRange(const std::string& name,
                                                            std::size_t offset,
                                                            std::size_t size) = 0;
  /// Opens a file for appending and creates it if it does not exist.
  [[nodiscard]] virtual base::Result<std::unique_ptr<AppendFile>> open(const std::string& name) = 0;
  [[nodiscard]] virtual base::Result<void> truncate(const std::string& name, std::size_t size) = 0;
  [[nodiscard]] virtual base::Result<void> rename(const std::string& from,
                                                  const std::string& to) = 0;
  [[nodiscard]] virtual base::Result<void> remove(const std::string& name) = 0;
  [[nodiscard]] virtual base::Result<void> syncDirectory() = 0;
};

/// Replaces the content of `name` by `bytes` and `suffix`. Writes and syncs a temporary file,
/// renames it and syncs the directory, so that after a crash the file has either the old or the new
/// content.
[[nodiscard]] base::Result<void> writeFileAtomically(FileSystem& files, const std::string& name,
                                                     std::string_view bytes,
                                                     std::string_view suffix = {});

}  // namespace tackpick::storage
