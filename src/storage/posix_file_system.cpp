#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

namespace tackpick::storage {
namespace {

/// Only the owner may access files, as logs and snapshots contain the API keys of tenants.
constexpr int kFileMode = 0600;

std::string errnoMessage(const std::string& operation, const std::string& path) {
  return operation + " " + path + ": " + std::generic_category().message(errno);
}

class PosixAppendFile final : public AppendFile {
 public:
  PosixAppendFile(int descriptor, std::string path)
      : descriptor_(descriptor), path_(std::move(path)) {}
  PosixAppendFile(const PosixAppendFile&) = delete;
  PosixAppendFile& operator=(const PosixAppendFile&) = delete;
  ~PosixAppendFile() override { ::close(descriptor_); }

  base::Result<void> append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return base::fail(base::ErrorCode::kStorage, errnoMessage("write", path_));
      }
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  base::Result<void> sync() override {
    if (::fdatasync(descriptor_) != 0) {
      return base::fail(base::ErrorCode::kStorage, errnoMessage("sync", path_));
    }
    return {};
  }

 private:
  int descriptor_;
  std::string path_;
};

}  // namespace

base::Result<void> writeFileAtomically(FileSystem& files, const std::string& name,
                                       std::string_view bytes, std::string_view suffix) {
  const std::string temporary = name + ".tmp";
  BOOST_LEAF_CHECK(files.remove(temporary));
  BOOST_LEAF_AUTO(file, files.open(temporary));
  BOOST_LEAF_CHECK(file->append(bytes));
  BOOST_LEAF_CHECK(file->append(suffix));
  BOOST_LEAF_CHECK(file->sync());
  file.reset();
  BOOST_LEAF_CHECK(files.rename(temporary, name));
  return files.syncDirectory();
}

base::Result<std::unique_ptr<PosixFileSystem>> PosixFileSystem::create(std::string directory) {
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error) {
    return base::fail(base::ErrorCode::kStorage, "create " + directory + ": " + error.message());
  }
  return std::unique_ptr<PosixFileSystem>(new PosixFileSystem(std::move(directory)));
}

base::Result<std::vector<std::string>> PosixFileSystem::list() {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(m_directory, error)) {
    if (entry.is_regular_file()) {
      names.push_back(entry.path().filename().string());
    }
  }
  if (error) {
    return base::fail(base::ErrorCode::kStorage, "list " + m_directory + ": " + error.message());
  }
  std::sort(names.begin(), names.end());
  return names;
}

base::Result<base::Bytes> PosixFileSystem::read(const std::string& name) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path(name), error);
  if (error) {
    return base::fail(base::ErrorCode::kNotFound, "open " + path(name) + ": " + error.message());
  }
  return readRange(name, 0, size);  // Avoids a second copy in memory, as log files are large.
}

base::Result<base::Bytes> PosixFileSystem::readRange(const std::string& name, std::size_t offset,
                                                     std::size_t size) {
  std::ifstream stream(path(name), std::ios::binary);
  stream.seekg(static_cast<std::streamoff>(offset));
  if (!stream) {
    return base::fail(base::ErrorCode::kNotFound, errnoMessage("read", path(name)));
  }
  base::Bytes bytes(size, '\0');
  stream.read(bytes.data(), static_cast<std::streamsize>(size));
  bytes.resize(static_cast<std::size_t>(stream.gcount()));
  return bytes;
}

base::Result<std::unique_ptr<AppendFile>> PosixFileSystem::open(const std::string& name) {
  const int descriptor =
      ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("open", path(name)));
  }
  return std::unique_ptr<AppendFile>(std::make_unique<PosixAppendFile>(descriptor, path(name)));
}

base::Result<void> PosixFileSystem::truncate(const std::string& name, std::size_t size) {
  if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("truncate", path(name)));
  }
  return {};
}

base::Result<void> PosixFileSystem::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("rename", path(from)));
  }
  return {};
}

base::Result<void> PosixFileSystem::remove(const std::string& name) {
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("remove", path(name)));
  }
  return {};
}

base::Result<void> PosixFileSystem::syncDirectory() {
  const int descriptor = ::open(m_directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("open", m_directory));
  }
  const bool synced = ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!synced) {
    return base::fail(base::ErrorCode::kStorage, errnoMessage("sync", m_directory));
  }
  return {};
}

}  // namespace tackpick::storage
