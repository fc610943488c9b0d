/// \file
/// Number of further items that engines can run, by model and version of its weights.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/serialization.h"

namespace tackpick::jobs {

/// Free slots shared by items of different minimum versions. An item of minimum version m may run
/// at any engine that holds m or newer, so one slot counts for several minimum versions.
/// Deterministic.
class FreeSlots {
 public:
  /// Adds `slots` at engines that hold `version` of `model`.
  void add(const std::string& model, std::uint64_t version, std::uint32_t slots);
  /// Scales all slots to `percent` of their number and divides them by `parts`, rounding up. More
  /// than 100 percent allows items to queue at the engines.
  void divide(std::uint32_t parts, std::uint32_t percent);
  /// Takes a slot for an item. Returns false and changes nothing if none is free.
  bool take(const std::string& model, std::uint64_t minimumVersion);
  /// Takes a slot for an item that is already running, even if none is free.
  void forceTake(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] bool empty() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_models);
  }

 private:
  /// Slots at engines that hold the version or a newer one, by version.
  using SlotsByVersion = std::map<std::uint64_t, std::uint32_t>;

  std::map<std::string, SlotsByVersion> m_models;
};

}  // namespace tackpick::jobs
