#include "base/utf8.h"

#include <boost/locale/utf.hpp>

namespace tackpick::base {

bool isValidUtf8(std::string_view bytes) {
  namespace utf = boost::locale::utf;
  const char* next = bytes.data();
  const char* const end = next + bytes.size();
  while (next != end) {
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(next, end))) {
      return false;
    }
  }
  return true;
}

}  // namespace tackpick::base
