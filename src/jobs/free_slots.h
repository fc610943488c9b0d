/// \file
/// How many further items the engines can run, by model and by the version of its weights.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/serialization.h"

namespace tackpick::jobs {

/// An item of minimum version m may run at engines that hold m or newer, so items share slots: of
/// those at engines with version v or newer, all items whose minimum is above the next older
/// version have their part. Deterministic.
class FreeSlots {
 public:
  /// `slots` more at engines that hold `version` of `model`.
  void add(const std::string& model, std::uint64_t version, std::uint32_t slots);
  /// Keeps one part in `parts` of all slots, rounded up, after adding `percent` of them for items
  /// that may wait at the engines.
  void share(std::uint32_t parts, std::uint32_t percent);
  /// Takes a place for an item. False, and nothing taken, when there is none.
  bool take(const std::string& model, std::uint64_t minimumVersion);
  /// Takes a place also where there is none left: the item runs already.
  void occupy(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] bool empty() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_rooms);
  }

 private:
  /// By version: slots at engines with that version or a newer one.
  using Room = std::map<std::uint64_t, std::uint32_t>;

  std::map<std::string, Room> m_rooms;
};

}  // namespace tackpick::jobs
