/// Tests of round trips and of invalid input.
#include "base/compression.h"

#include <criterion/criterion.h>

#include "base/large_value.h"
#include "base/random.h"

namespace base = tackpick::base;

namespace {

constexpr std::size_t kMaxSize = 1U << 20U;

base::Bytes randomLetters(std::size_t size, std::uint64_t alphabet, std::uint64_t seed) {
  base::SeededRandom random(seed);
  base::Bytes bytes;
  for (std::size_t i = 0; i < size; ++i) {
    bytes.push_back(static_cast<char>('a' + random.below(alphabet)));
  }
  return bytes;
}

}  // namespace

Test(compression, every_message_round_trips) {
  for (std::size_t size = 0; size < 5000; size += 37) {
    const base::Bytes message = randomLetters(size, 1 + size % 200, size);
    const auto roundTrip = base::decompress(base::compress(message), kMaxSize);
    cr_assert(roundTrip.has_value());
    cr_assert_eq(*roundTrip, message);
  }
}

Test(compression, random_letters_shrink_and_random_bytes_grow_slightly) {
  const base::Bytes text = randomLetters(100'000, 26, 1);
  cr_assert_lt(base::compress(text).size(), text.size() * 2 / 3);
  const base::Bytes noise = randomLetters(100'000, 256, 1);
  cr_assert_leq(base::compress(noise).size(), noise.size() + 1);
}

Test(compression, oversized_and_corrupt_frames_are_rejected) {
  cr_assert_not(base::decompress({}, kMaxSize).has_value());
  const base::Bytes message = randomLetters(10'000, 2, 1);
  const base::Bytes frame = base::compress(message);
  cr_assert_not(base::decompress(frame, message.size() - 1).has_value());
  base::SeededRandom random(7);
  for (int i = 0; i < 20'000; ++i) {
    base::Bytes corrupted = frame;
    corrupted[random.below(corrupted.size())] = static_cast<char>(random.below(256));
    corrupted.resize(1 + random.below(corrupted.size()));
    const auto decompressed = base::decompress(corrupted, kMaxSize);
    cr_assert(!decompressed || decompressed->size() <= kMaxSize);
  }
}

Test(large_value, allocates_the_exact_size) {
  std::vector<std::string> value;
  for (std::uint64_t i = 0; i < 300; ++i) {
    value.push_back(randomLetters(i * 20, 26, i));
  }
  const base::Bytes large = base::encodePresized(value);
  cr_assert_eq(large, base::encode(value));
  cr_assert_eq(large.capacity(), large.size());
  cr_assert(base::decode<std::vector<std::string>>(large) == value);
  cr_assert_eq(base::encodePresized(std::string()), base::encode(std::string()));
}
