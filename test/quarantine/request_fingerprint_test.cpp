/// Tests of RequestFingerprint.
#include "quarantine/request_fingerprint.h"

#include <criterion/criterion.h>

using tackpick::quarantine::fingerprintOf;
using tackpick::quarantine::RequestFingerprint;
using tackpick::quarantine::RequestIdentity;

namespace {

constexpr std::string_view kKey = "cluster";
constexpr RequestIdentity kRequest = {"POST", "seats.example", "/hold/7", "harbour", "two seats"};

}  // namespace

Test(request_fingerprint, is_the_same_for_the_same_request) {
  const RequestIdentity again = kRequest;
  cr_assert(fingerprintOf(kRequest, kKey) == fingerprintOf(again, kKey));
  cr_assert_eq(fingerprintOf(kRequest, kKey).text().size(), 32);
}

Test(request_fingerprint, is_parsed_from_its_text_only) {
  const RequestFingerprint known = fingerprintOf(kRequest, kKey);
  cr_assert(RequestFingerprint::parse(known.text()) == known);
  cr_assert_not(RequestFingerprint::parse(""));
  cr_assert_not(RequestFingerprint::parse(known.text() + "0"));
  cr_assert_not(RequestFingerprint::parse(std::string(32, 'g')));
  cr_assert_not(RequestFingerprint::parse("-" + std::string(31, '1')));
}

Test(request_fingerprint, differs_when_any_part_differs) {
  const auto known = fingerprintOf(kRequest, kKey);
  RequestIdentity other = kRequest;
  other.method = "PUT";
  cr_assert(fingerprintOf(other, kKey) != known);
  other = kRequest;
  other.host = "checks.example";
  cr_assert(fingerprintOf(other, kKey) != known);
  other = kRequest;
  other.target = "/hold/8";
  cr_assert(fingerprintOf(other, kKey) != known);
  other = kRequest;
  other.tenant = "agents";
  cr_assert(fingerprintOf(other, kKey) != known);
  other = kRequest;
  other.body = "one seat";
  cr_assert(fingerprintOf(other, kKey) != known);
  cr_assert(fingerprintOf(kRequest, "another cluster") != known);
}

Test(request_fingerprint, depends_on_the_boundaries_between_parts) {
  const RequestIdentity left = {"POST", "a", "/b", "", "c"};
  const RequestIdentity right = {"POST", "a", "/", "b", "c"};
  cr_assert(fingerprintOf(left, kKey) != fingerprintOf(right, kKey));
}
