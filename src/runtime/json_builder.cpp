#include "runtime/json_builder.h"

#include <utility>

namespace tackpick::runtime {

void JsonBuilder::streamElements(std::string key, JsonElementHandler handler) {
  m_streamedKey = std::move(key);
  m_onElement = std::move(handler);
}

bool JsonBuilder::fail(std::string error) {
  m_error = std::move(error);
  return false;
}

bool JsonBuilder::countValue() {
  ++m_valueCount;
  return m_valueCount <= m_limits.maxValues || fail("the JSON has too many values");
}

bool JsonBuilder::inStreamedArray() const {
  constexpr std::size_t kStreamedDepth = 2;
  return m_onElement && m_containers.size() == kStreamedDepth && m_containers.back().is_array() &&
         m_containers.front().is_object() && m_keys.front() == m_streamedKey;
}

bool JsonBuilder::open(Json container) {
  if (m_containers.size() > m_limits.maxDepth) {
    return fail("the JSON is nested too deeply");
  }
  const bool isElement = inStreamedArray();
  if (isElement) {
    m_countBeforeElement = m_valueCount;
  }
  m_containers.push_back(std::move(container));
  if (m_containers.back().is_object()) {
    m_keys.emplace_back();
  }
  if (!isElement && inStreamedArray() && std::exchange(m_streamedKeySeen, true)) {
    return fail("the JSON has a field twice");
  }
  return countValue();
}

bool JsonBuilder::key(string_t& value) {
  m_keys.back() = std::move(value);
  return countValue();
}

bool JsonBuilder::closeContainer() {
  Json container = std::move(m_containers.back());
  m_containers.pop_back();
  if (container.is_object()) {
    m_keys.pop_back();
  }
  if (m_containers.empty()) {
    m_root = std::move(container);
    return true;
  }
  if (inStreamedArray()) {
    m_onElement(std::move(container));
    m_valueCount = m_countBeforeElement;
    return true;
  }
  Json& parent = m_containers.back();
  if (parent.is_object()) {
    parent[m_keys.back()] = std::move(container);
  } else {
    parent.push_back(std::move(container));
  }
  return true;
}

bool JsonBuilder::add(Json value) {
  if (m_containers.empty()) {
    m_root = std::move(value);
    return true;
  }
  if (inStreamedArray()) {
    m_onElement(std::move(value));
    return true;
  }
  Json& parent = m_containers.back();
  if (parent.is_object()) {
    parent[m_keys.back()] = std::move(value);
  } else {
    parent.push_back(std::move(value));
  }
  return countValue();
}

bool JsonBuilder::parse_error(std::size_t /*position*/, const std::string& /*token*/,
                              const nlohmann::detail::exception& /*error*/) {
  return fail("the body is not valid JSON");
}

}  // namespace tackpick::runtime
