#include "storage/disk_thread.h"

#include <utility>

namespace tackpick::storage {
namespace {

/// Runs the task and returns the error message, std::nullopt on success.
std::optional<std::string> runTask(const DiskExecutor::Task& task) {
  return base::recover(
      [&]() -> base::Result<std::optional<std::string>> {
        BOOST_LEAF_CHECK(task());
        return std::optional<std::string>();
      },
      [](const base::Error& error) { return std::optional(error.message); });
}

}  // namespace

DiskThread::DiskThread(std::function<void()> onTaskDone)
    : m_onTaskDone(std::move(onTaskDone)), m_thread([this] { run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
  }
  m_condition.notify_all();
  m_thread.join();
}

void DiskThread::start(Task task) {
  {
    const std::scoped_lock lock(m_mutex);
    m_task = std::move(task);
  }
  m_condition.notify_all();
}

bool DiskThread::running() const {
  const std::scoped_lock lock(m_mutex);
  return static_cast<bool>(m_task);
}

void DiskThread::wait() {
  std::unique_lock lock(m_mutex);
  m_condition.wait(lock, [this] { return !m_task; });
}

base::Result<void> DiskThread::result() {
  const std::scoped_lock lock(m_mutex);
  if (m_error) {
    return base::fail(base::ErrorCode::kStorage, *m_error);
  }
  return {};
}

void DiskThread::run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_condition.wait(lock, [this] { return m_stopping || m_task; });
    if (!m_task) {
      return;
    }
    const Task& task = m_task;  // start() is not called before the task has ended.
    lock.unlock();
    std::optional<std::string> error = runTask(task);
    lock.lock();
    m_error = std::move(error);
    m_task = nullptr;
    lock.unlock();
    m_condition.notify_all();
    m_onTaskDone();
    lock.lock();
  }
}

}  // namespace tackpick::storage
