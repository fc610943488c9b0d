/// Texts that are kept and sent compressed.
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

Test(compressed_text, texts_come_back_as_they_were_also_joined) {
  base::CompressedText packed(longText('a'));
  cr_assert_lt(base::encode(packed).size(), longText('a').size());
  packed.append(base::CompressedText("\nshort"));
  packed.append(base::CompressedText());
  packed.append(base::CompressedText(longText('k')));
  const std::string whole = longText('a') + "\nshort" + longText('k');
  cr_assert_eq(packed.length(), whole.size());
  cr_assert(packed == whole);
  cr_assert(packed == base::CompressedText(whole), "however it was joined");
  const auto decoded = base::decode<base::CompressedText>(base::encode(packed));
  cr_assert(decoded->unpack() == whole);
  cr_assert(base::CompressedText().unpack() == "");
}

Test(compressed_text, damage_is_noticed) {
  base::Bytes bytes = base::encode(base::CompressedText(longText('a')));
  bool noticed = false;
  for (std::size_t i = 0; i < bytes.size() && !noticed; ++i) {
    base::Bytes damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    const auto decoded = base::decode<base::CompressedText>(damaged);
    noticed = decoded && !decoded->unpack();
  }
  cr_assert(noticed);
}
