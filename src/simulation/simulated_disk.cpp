#include "simulation/simulated_disk.h"

#include <algorithm>
#include <utility>

namespace tackpick::simulation {

class SimulatedDisk::OpenFile final : public storage::AppendFile {
 public:
  OpenFile(const SimulatedDisk& disk, FilePtr file) : disk_(disk), file_(std::move(file)) {}

  [[nodiscard]] base::Result<void> append(std::string_view bytes) override {
    file_->bytes.append(bytes);
    return {};
  }
  [[nodiscard]] base::Result<void> sync() override {
    if (disk_.m_failSyncs) {
      return base::fail(base::ErrorCode::kStorage, "sync failed on the simulated disk");
    }
    file_->syncedSize = file_->bytes.size();
    return {};
  }

 private:
  const SimulatedDisk& disk_;
  FilePtr file_;
};

base::Result<SimulatedDisk::FilePtr> SimulatedDisk::find(const std::string& name) const {
  const auto found = m_files.find(name);
  if (found == m_files.end()) {
    return base::fail(base::ErrorCode::kNotFound, name + ": no such file");
  }
  return found->second;
}

base::Result<std::vector<std::string>> SimulatedDisk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : m_files) {
    names.push_back(name);
  }
  return names;
}

base::Result<base::Bytes> SimulatedDisk::read(const std::string& name) {
  BOOST_LEAF_AUTO(file, find(name));
  return file->bytes;
}

base::Result<base::Bytes> SimulatedDisk::readRange(const std::string& name, std::size_t offset,
                                                   std::size_t size) {
  BOOST_LEAF_AUTO(file, find(name));
  return offset < file->bytes.size() ? file->bytes.substr(offset, size) : base::Bytes();
}

base::Result<std::unique_ptr<storage::AppendFile>> SimulatedDisk::open(const std::string& name) {
  FilePtr& file = m_files[name];
  if (!file) {
    file = std::make_shared<File>();
  }
  return std::unique_ptr<storage::AppendFile>(std::make_unique<OpenFile>(*this, file));
}

base::Result<void> SimulatedDisk::truncate(const std::string& name, std::size_t size) {
  BOOST_LEAF_AUTO(file, find(name));
  file->bytes.resize(std::min(size, file->bytes.size()));
  file->syncedSize = std::min(file->syncedSize, size);
  return {};
}

base::Result<void> SimulatedDisk::rename(const std::string& from, const std::string& to) {
  BOOST_LEAF_AUTO(file, find(from));
  m_files.erase(from);
  m_files[to] = file;
  return {};
}

base::Result<void> SimulatedDisk::remove(const std::string& name) {
  m_files.erase(name);
  return {};
}

base::Result<void> SimulatedDisk::syncDirectory() {
  if (m_failSyncs) {
    return base::fail(base::ErrorCode::kStorage, "sync failed on the simulated disk");
  }
  m_durableFiles = m_files;
  return {};
}

void SimulatedDisk::crash(base::Random& random) {
  m_files = m_durableFiles;
  for (const auto& [name, file] : m_files) {
    const std::size_t unsynced = file->bytes.size() - file->syncedSize;
    file->bytes.resize(file->syncedSize + random.below(unsynced + 1));
    file->syncedSize = file->bytes.size();
  }
}

void SimulatedDisk::wipe() {
  m_files.clear();
  m_durableFiles.clear();
  m_failSyncs = false;
}

void SimulatedDisk::corrupt(base::Random& random) {
  const auto largest =
      std::max_element(m_files.begin(), m_files.end(), [](const auto& left, const auto& right) {
        return left.second->bytes.size() < right.second->bytes.size();
      });
  if (largest == m_files.end() || largest->second->bytes.size() < 4) {
    return;
  }
  base::Bytes& bytes = largest->second->bytes;
  const std::size_t half = bytes.size() / 2;
  char& corrupted = bytes[random.below(half)];
  corrupted = static_cast<char>(corrupted ^ 0x10);
}

}  // namespace tackpick::simulation
