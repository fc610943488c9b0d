/// \file
/// What an operator allows the platform to start and stop of a service's instances.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::duties {

/// Bounds and prices of a service's instances.
struct Scaling {
  std::uint32_t minimum = 0;  ///< instances in a zone, of both kinds together
  std::uint32_t maximum = 0;
  base::Duration startupDuration{0};  ///< from a call until a new instance serves
  double preemptiblePrice = 1;        ///< of a preemptible instance, relative to an on-demand one
  std::map<std::string, double> zonePrices;  ///< of an on-demand instance for a second, by zone

  bool operator==(const Scaling&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(minimum, maximum, startupDuration, preemptiblePrice, zonePrices);
  }
};

/// Fails with what is wrong: no instance is allowed, the bounds contradict each other, a price is
/// no price, a zone has no name, the start takes too long to plan for.
[[nodiscard]] base::Result<void> validate(const Scaling& scaling);

}  // namespace tackpick::duties
