/// \file
/// What each role costs in a simulated run: processor time of the real modules, messages, bytes.
#pragma once

#include <array>
#include <cstdint>
#include <ctime>
#include <variant>

#include "transport/internal_messages.h"

namespace tackpick::simulation {

inline constexpr std::size_t kMessageKinds = std::variant_size_v<transport::InternalMessage>;

/// Counts of one kind of message.
struct MessageCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< as encoded, without the frame's four bytes
};

/// Sums over all nodes of a role.
struct RoleCost {
  std::uint64_t cpuNanoseconds = 0;  ///< of the host machine's thread
  std::uint64_t engineReads = 0;
  std::array<MessageCount, kMessageKinds> sent;
  std::array<MessageCount, kMessageKinds> received;

  [[nodiscard]] static std::uint64_t total(const std::array<MessageCount, kMessageKinds>& counts) {
    std::uint64_t bytes = 0;
    for (const MessageCount& count : counts) {
      bytes += count.bytes;
    }
    return bytes;
  }
};

/// Adds the processor time of its scope to a meter; does nothing without one.
class CpuTimer {
 public:
  explicit CpuTimer(RoleCost* meter) : meter_(meter) {
    if (meter_ != nullptr) {
      started_ = now();
    }
  }
  ~CpuTimer() {
    if (meter_ != nullptr) {
      meter_->cpuNanoseconds += now() - started_;
    }
  }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  static std::uint64_t now() {
    constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * kNanosecondsPerSecond +
           static_cast<std::uint64_t>(time.tv_nsec);
  }

  RoleCost* meter_;
  std::uint64_t started_ = 0;
};

}  // namespace tackpick::simulation
