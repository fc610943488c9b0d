/// \file
/// Frees the memory of strings and containers.
#pragma once

namespace tackpick::base {

/// Makes a string or container empty and frees its memory. Assigning `{}` keeps the capacity.
template <typename Container>
void releaseMemory(Container& container) {
  Container().swap(container);
}

}  // namespace tackpick::base
