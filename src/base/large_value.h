/// \file
/// Encoding of values so large that they must not be held twice.
#pragma once

#include <cstddef>
#include <ostream>
#include <streambuf>

#include "base/serialization.h"

namespace tackpick::base {

/// Counts what is written to it.
class CountingBuffer final : public std::streambuf {
 public:
  [[nodiscard]] std::size_t size() const { return m_size; }

 protected:
  std::streamsize xsputn(const char* /*data*/, std::streamsize size) override {
    m_size += static_cast<std::size_t>(size);
    return size;
  }
  int overflow(int character) override {
    ++m_size;
    return character;
  }

 private:
  std::size_t m_size = 0;
};

/// Keeps what is written to it in a string of exactly that size.
class FixedBuffer final : public std::streambuf {
 public:
  explicit FixedBuffer(std::size_t size) { m_bytes.reserve(size); }
  [[nodiscard]] Bytes take() { return std::move(m_bytes); }

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    m_bytes.append(data, static_cast<std::size_t>(size));
    return size;
  }
  int overflow(int character) override {
    m_bytes.push_back(static_cast<char>(character));
    return character;
  }

 private:
  Bytes m_bytes;
};

/// The same bytes as encode(), without the room of a string that grew: a first pass counts them.
template <typename T>
[[nodiscard]] Bytes encodeLarge(const T& value) {
  const auto write = [&](std::streambuf& buffer) {
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  };
  CountingBuffer counter;
  write(counter);
  FixedBuffer buffer(counter.size());
  write(buffer);
  return buffer.take();
}

}  // namespace tackpick::base
