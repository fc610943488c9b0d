/// Tests of texts that are stored and sent compressed.
#include "base/compressed_text.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;

namespace {

std::string longText(char letter) {
  constexpr std::size_t kBytes = 5000;
  std::string text;
  for (std::size_t i = 0; i < kBytes; ++i) {
    text += static_cast<char>(letter + static_cast<char>(i * i % 7));
  }
  return text;
}

}  // namespace

Test(compressed_text, texts_round_trip_when_appended) {
  base::CompressedText compressed(longText('a'));
  cr_assert_lt(base::encode(compressed).size(), longText('a').size());
  compressed.append(base::CompressedText("\nshort"));
  compressed.append(base::CompressedText());
  compressed.append(base::CompressedText(longText('k')));
  const std::string joined = longText('a') + "\nshort" + longText('k');
  cr_assert_eq(compressed.length(), joined.size());
  cr_assert(compressed == joined);
  cr_assert(compressed == base::CompressedText(joined),
            "equal regardless of the division into chunks");
  const auto decoded = base::decode<base::CompressedText>(base::encode(compressed));
  cr_assert(decoded->decompressedText() == joined);
  cr_assert(base::CompressedText().decompressedText() == "");
}

Test(compressed_text, corruption_is_detected) {
  base::Bytes bytes = base::encode(base::CompressedText(longText('a')));
  bool detected = false;
  for (std::size_t i = 0; i < bytes.size() && !detected; ++i) {
    base::Bytes corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x10);
    const auto decoded = base::decode<base::CompressedText>(corrupted);
    detected = decoded && !decoded->decompressedText();
  }
  cr_assert(detected);
}
