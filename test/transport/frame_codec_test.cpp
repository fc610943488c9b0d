/// Frames between our processes: round trips, and bytes that no peer of ours sent.
#include "transport/frame_codec.h"

#include <criterion/criterion.h>

#include "base/random.h"

namespace base = tackpick::base;
namespace transport = tackpick::transport;

namespace {

constexpr std::size_t kLimit = 1U << 20U;

base::Bytes letters(std::size_t size, std::uint64_t alphabet, std::uint64_t seed) {
  base::SeededRandom random(seed);
  base::Bytes bytes;
  for (std::size_t i = 0; i < size; ++i) {
    bytes.push_back(static_cast<char>('a' + random.below(alphabet)));
  }
  return bytes;
}

}  // namespace

Test(frame_codec, every_message_comes_back) {
  for (std::size_t size = 0; size < 5000; size += 37) {
    const base::Bytes message = letters(size, 1 + size % 200, size);
    const auto back = transport::unpackFrame(transport::packFrame(message), kLimit);
    cr_assert(back.has_value());
    cr_assert_eq(*back, message);
  }
}

Test(frame_codec, random_letters_shrink_and_random_bytes_hardly_grow) {
  const base::Bytes text = letters(100'000, 26, 1);
  cr_assert_lt(transport::packFrame(text).size(), text.size() * 2 / 3);
  const base::Bytes noise = letters(100'000, 256, 1);
  cr_assert_leq(transport::packFrame(noise).size(), noise.size() + 1);
}

Test(frame_codec, frames_over_the_limit_and_damaged_ones_are_refused) {
  cr_assert_not(transport::unpackFrame({}, kLimit).has_value());
  const base::Bytes message = letters(10'000, 2, 1);
  const base::Bytes frame = transport::packFrame(message);
  cr_assert_not(transport::unpackFrame(frame, message.size() - 1).has_value());
  base::SeededRandom random(7);
  for (int i = 0; i < 20'000; ++i) {
    base::Bytes bad = frame;
    bad[random.below(bad.size())] = static_cast<char>(random.below(256));
    bad.resize(1 + random.below(bad.size()));
    const auto unpacked = transport::unpackFrame(bad, kLimit);
    cr_assert(!unpacked || unpacked->size() <= kLimit);
  }
}
