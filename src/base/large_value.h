/// \file
/// Encoding of large values into a buffer of the exact size.
#pragma once

#include <cstddef>
#include <ostream>
#include <streambuf>

#include "base/serialization.h"

namespace tackpick::base {

/// A stream buffer that counts the bytes written to it and discards them.
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

/// A stream buffer that appends to a string with a preallocated capacity.
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

/// Returns the same bytes as encode(), in a string without excess capacity. A first pass determines
/// the size.
template <typename T>
[[nodiscard]] Bytes encodePresized(const T& value) {
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
