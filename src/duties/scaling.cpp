#include "duties/scaling.h"

#include <cmath>

namespace tackpick::duties {
namespace {

/// Beyond any zone: a larger number is a damaged one.
constexpr std::uint32_t kMaxInstances = 100'000;
constexpr base::Duration kMaxStart = base::seconds(3600);

bool isPrice(double price) { return std::isfinite(price) && price >= 0; }

}  // namespace

base::Result<void> validate(const Scaling& scaling) {
  const auto invalid = [](const std::string& why) {
    return base::fail(base::ErrorCode::kInvalidInput, "scaling: " + why);
  };
  if (scaling.maximum == 0 || scaling.maximum > kMaxInstances) {
    return invalid("its maximum is no number of instances");
  }
  if (scaling.minimum > scaling.maximum) {
    return invalid("its minimum is above its maximum");
  }
  if (scaling.startupDuration < base::Duration{0} || scaling.startupDuration > kMaxStart) {
    return invalid("its start time is out of range");
  }
  if (!isPrice(scaling.preemptiblePrice)) {
    return invalid("the price of withdrawable instances is no price");
  }
  for (const auto& [zone, price] : scaling.zonePrices) {
    if (zone.empty() || !isPrice(price)) {
      return invalid("the price of zone '" + zone + "' is no price of a zone");
    }
  }
  return {};
}

}  // namespace tackpick::duties
