#include "simulation/simulated_disk.h"

#include <algorithm>
#include <utility>

namespace tackpick::simulation {

class SimulatedDisk::OpenFile final : public storage::AppendFile {
 public:
  OpenFile(const SimulatedDisk& disk, FilePointer file) : disk_(disk), file_(std::move(file)) {}

  [[nodiscard]] base::Result<void> append(std::string_view bytes) override {
    file_->bytes.append(bytes);
    return {};
  }
  [[nodiscard]] base::Result<void> sync() override {
    if (disk_.failing_) {
      return base::fail(base::ErrorCode::kStorage, "the simulated disk refuses to sync");
    }
    file_->syncedSize = file_->bytes.size();
    return {};
  }

 private:
  const SimulatedDisk& disk_;
  FilePointer file_;
};

base::Result<SimulatedDisk::FilePointer> SimulatedDisk::find(const std::string& name) const {
  const auto found = names_.find(name);
  if (found == names_.end()) {
    return base::fail(base::ErrorCode::kNotFound, name + ": no such file");
  }
  return found->second;
}

base::Result<std::vector<std::string>> SimulatedDisk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : names_) {
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
  FilePointer& file = names_[name];
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
  names_.erase(from);
  names_[to] = file;
  return {};
}

base::Result<void> SimulatedDisk::remove(const std::string& name) {
  names_.erase(name);
  return {};
}

base::Result<void> SimulatedDisk::syncDirectory() {
  if (failing_) {
    return base::fail(base::ErrorCode::kStorage, "the simulated disk refuses to sync");
  }
  durable_names_ = names_;
  return {};
}

void SimulatedDisk::crash(base::Random& random) {
  names_ = durable_names_;
  for (const auto& [name, file] : names_) {
    const std::size_t unsynced = file->bytes.size() - file->syncedSize;
    file->bytes.resize(file->syncedSize + random.below(unsynced + 1));
    file->syncedSize = file->bytes.size();
  }
}

void SimulatedDisk::wipe() {
  names_.clear();
  durable_names_.clear();
  failing_ = false;
}

void SimulatedDisk::damage(base::Random& random) {
  const auto longest =
      std::max_element(names_.begin(), names_.end(), [](const auto& left, const auto& right) {
        return left.second->bytes.size() < right.second->bytes.size();
      });
  if (longest == names_.end() || longest->second->bytes.size() < 4) {
    return;
  }
  base::Bytes& bytes = longest->second->bytes;
  const std::size_t half = bytes.size() / 2;
  char& damaged = bytes[random.below(half)];
  damaged = static_cast<char>(damaged ^ 0x10);
}

}  // namespace tackpick::simulation
