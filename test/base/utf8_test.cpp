/// Validation of UTF-8.
#include "base/utf8.h"

#include <criterion/criterion.h>

#include <string>

namespace base = tackpick::base;
using std::string_literals::operator""s;

Test(utf8, well_formed_text_is_accepted) {
  cr_assert(base::isValidUtf8(""));
  cr_assert(base::isValidUtf8("plain\n\0text"s));
  cr_assert(base::isValidUtf8("\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80 \xf4\x8f\xbf\xbf"));
}

Test(utf8, malformed_text_is_rejected) {
  for (const std::string& text : {
           "baf0\xb1"s,              // continuation byte without a lead byte
           "\xe2\x82"s,              // truncated
           "\xe2\x82x"s,             // interrupted
           "\xc0\xaf"s,              // overlong
           "\xe0\x80\xaf"s,          // overlong
           "\xed\xa0\x80"s,          // surrogate
           "\xf4\x90\x80\x80"s,      // above U+10FFFF
           "\xff"s,                  // never used in UTF-8
           "\xf8\x88\x80\x80\x80"s,  // five bytes
       }) {
    cr_assert_not(base::isValidUtf8(text), "accepted %s", text.c_str());
  }
}
