/// \file
/// Bounds of automatic scaling, configured by operators.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::duties {

/// Bounds and prices of the instances of a service.
struct Scaling {
  std::uint32_t minInstances = 0;            ///< per zone, of both kinds together
  std::uint32_t maxInstances = 0;            ///< per zone, of both kinds together
  base::Duration startupDuration{0};         ///< time from a call until a new instance is ready
  double preemptiblePrice = 1;               ///< relative to an on-demand instance
  std::map<std::string, double> zonePrices;  ///< per second of an on-demand instance, by zone

  bool operator==(const Scaling&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(minInstances, maxInstances, startupDuration, preemptiblePrice, zonePrices);
  }
};

/// Returns an error if the bounds contradict each other, a value is out of range, or a zone has no
/// name.
[[nodiscard]] base::Result<void> validate(const Scaling& scaling);

}  // namespace tackpick::duties
