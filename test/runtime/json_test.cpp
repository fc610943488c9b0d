/// Tests of parsing JSON within limits.
#include "runtime/json.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace runtime = tackpick::runtime;
using runtime::Json;

namespace {

/// Returns the parsed value, or the error as a string value with the prefix "error: ".
Json parse(const std::string& text, const runtime::JsonLimits& limits = {}) {
  return base::recover([&] { return runtime::parseJson(text, limits); },
                       [](const base::Error& error) { return Json("error: " + error.message); });
}

}  // namespace

Test(json, value_equals_that_of_the_library) {
  for (const char* text :
       {"1", "-2", "3.5", "\"a\"", "null", "true", "[]", "{}",
        R"({"a":[1,{"b":null,"c":[[],{}]}],"d":"\u00e9","a":[2,-3,4.5,false]})"}) {
    cr_assert(parse(text) == Json::parse(text), "%s", text);
  }
}

Test(json, invalid_text_is_rejected) {
  for (const char* text : {"", "{", "[1,]", "{\"a\"}", "[1] 2", "\"\xff\"", "tru"}) {
    cr_assert_eq(parse(text).get<std::string>(), "error: the body is not valid JSON", "%s", text);
  }
}

Test(json, deep_nesting_stops_the_parser) {
  const std::string text(10'000'000, '[');
  cr_assert_eq(parse(text).get<std::string>(), "error: the JSON is nested too deeply");
  cr_assert(parse(std::string(17, '[') + std::string(17, ']')).is_array());
}

Test(json, number_of_values_is_limited) {
  runtime::JsonLimits limits;
  limits.maxValues = 5;
  cr_assert(parse("[1,2,3,4]", limits).is_array());
  cr_assert_eq(parse("[1,2,3,4,5]", limits).get<std::string>(),
               "error: the JSON has too many values");
  cr_assert(parse(R"({"a":1,"b":2})", limits).is_object());
  cr_assert_eq(parse(R"({"a":1,"b":2,"c":3})", limits).get<std::string>(),
               "error: the JSON has too many values");
}

Test(json, elements_are_passed_on_and_not_kept) {
  runtime::JsonLimits limits;
  limits.maxValues = 12;
  std::vector<Json> elements;
  const Json root = base::recover(
      [&] {
        return runtime::parseJsonElements(
            R"({"n":1,"items":[{"a":[1,2]},{"a":[3]},7,{"a":[4]},[5,6]],"m":{"items":[8]}})",
            "items", [&](Json element) { elements.push_back(std::move(element)); }, limits);
      },
      [](const base::Error& error) { return Json(error.message); });
  cr_assert(root == Json::parse(R"({"n":1,"items":[],"m":{"items":[8]}})"), "%s",
            root.dump().c_str());
  cr_assert(Json(elements) == Json::parse(R"([{"a":[1,2]},{"a":[3]},7,{"a":[4]},[5,6]])"));
}

Test(json, root_that_is_an_array_has_no_elements_to_pass_on) {
  std::size_t passed = 0;
  const Json root = base::recover(
      [&] { return runtime::parseJsonElements("[[1],[2]]", "items", [&](Json) { ++passed; }); },
      [](const base::Error& error) { return Json(error.message); });
  cr_assert(root == Json::parse("[[1],[2]]"));
  cr_assert_eq(passed, 0U);
}

Test(json, array_of_elements_that_comes_twice_is_rejected) {
  const Json root = base::recover(
      [&] {
        return runtime::parseJsonElements(R"({"items":[1],"items":[2]})", "items", [](Json) {});
      },
      [](const base::Error& error) { return Json(error.message); });
  cr_assert_eq(root.get<std::string>(), "the JSON has a field twice");
}
