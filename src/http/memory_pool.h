/// \file
/// A bounded amount of memory that several owners share.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace tackpick::http {

/// Counts the bytes that reservations hold, up to a limit. Used on one thread.
class MemoryPool {
 public:
  explicit MemoryPool(std::size_t limitBytes) : m_limitBytes(limitBytes) {}

  /// Changes the limit. Existing reservations stay, even if they exceed it.
  void setLimit(std::size_t limitBytes) { m_limitBytes = limitBytes; }
  [[nodiscard]] std::size_t limitBytes() const { return m_limitBytes; }
  [[nodiscard]] std::size_t usedBytes() const { return m_usedBytes; }
  [[nodiscard]] bool isOver() const { return m_usedBytes > m_limitBytes; }
  /// Whether `bytes` more can be reserved while `spareBytes` remain free.
  [[nodiscard]] bool fits(std::size_t bytes, std::size_t spareBytes = 0) const {
    return m_usedBytes + bytes + spareBytes <= m_limitBytes;
  }

 private:
  friend class MemoryReservation;
  std::size_t m_limitBytes;
  std::size_t m_usedBytes = 0;
};

/// Bytes reserved in a MemoryPool until the destructor.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(std::shared_ptr<MemoryPool> pool) : m_pool(std::move(pool)) {}
  ~MemoryReservation() { resize(0); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  MemoryReservation(MemoryReservation&& other) noexcept
      : m_pool(std::move(other.m_pool)), m_bytes(std::exchange(other.m_bytes, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(m_pool, other.m_pool);
    std::swap(m_bytes, other.m_bytes);
    return *this;
  }

  /// Sets the size, whether or not it fits.
  void resize(std::size_t bytes) {
    if (m_pool) {
      m_pool->m_usedBytes += bytes;
      m_pool->m_usedBytes -= m_bytes;
      m_bytes = bytes;
    }
  }
  /// Sets the size if the pool has room for it and `spareBytes` more. Returns whether it did.
  [[nodiscard]] bool tryResize(std::size_t bytes, std::size_t spareBytes = 0) {
    if (m_pool && bytes > m_bytes && !m_pool->fits(bytes - m_bytes, spareBytes)) {
      return false;
    }
    resize(bytes);
    return true;
  }
  [[nodiscard]] std::size_t bytes() const { return m_bytes; }

 private:
  std::shared_ptr<MemoryPool> m_pool;
  std::size_t m_bytes = 0;
};

}  // namespace tackpick::http
