/// \file
/// Wall clock that a test sets.
#pragma once

#include "base/time.h"

namespace tackpick::test {

class ManualWallClock final : public base::WallTimeSource {
 public:
  [[nodiscard]] base::WallTime wallNow() const override { return at; }
  base::WallTime at{base::seconds(1'000'000)};
};

}  // namespace tackpick::test
