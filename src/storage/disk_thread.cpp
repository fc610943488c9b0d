#include "storage/disk_thread.h"

#include <utility>

namespace tackpick::storage {
namespace {

/// The error's message; nothing when the work succeeded.
std::optional<std::string> errorOf(const DiskExecutor::Work& work) {
  return base::recover(
      [&]() -> base::Result<std::optional<std::string>> {
        BOOST_LEAF_CHECK(work());
        return std::optional<std::string>();
      },
      [](const base::Error& error) { return std::optional(error.message); });
}

}  // namespace

DiskThread::DiskThread(std::function<void()> onEnded)
    : m_onEnded(std::move(onEnded)), m_thread([this] { run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_thread.join();
}

void DiskThread::start(Work work) {
  {
    const std::scoped_lock lock(m_mutex);
    m_work = std::move(work);
  }
  m_changed.notify_all();
}

bool DiskThread::running() const {
  const std::scoped_lock lock(m_mutex);
  return static_cast<bool>(m_work);
}

void DiskThread::wait() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return !m_work; });
}

base::Result<void> DiskThread::outcome() {
  const std::scoped_lock lock(m_mutex);
  if (m_error) {
    return base::fail(base::ErrorCode::kStorage, *m_error);
  }
  return {};
}

void DiskThread::run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_stopping || m_work; });
    if (!m_work) {
      return;
    }
    const Work& work = m_work;  // start() is not called before it ended
    lock.unlock();
    std::optional<std::string> error = errorOf(work);
    lock.lock();
    m_error = std::move(error);
    m_work = nullptr;
    lock.unlock();
    m_changed.notify_all();
    m_onEnded();
    lock.lock();
  }
}

}  // namespace tackpick::storage
