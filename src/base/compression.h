/// \file
/// Compression of what our processes send each other and keep: most of it are texts, which cross
/// zones several times and are kept for minutes.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <streambuf>

#include "base/serialization.h"

namespace tackpick::base {

/// Compresses bytes where that makes them shorter. The first byte says whether.
[[nodiscard]] Bytes compress(const Bytes& bytes);
/// What was compressed; nothing when it is damaged or would be longer than `limit`.
[[nodiscard]] std::optional<Bytes> decompress(const Bytes& compressed, std::size_t limit);

/// Compresses what is written to it, so that a large value is never held whole as plain bytes.
class CompressingBuffer final : public std::streambuf {
 public:
  /// `size`: how many bytes will be written, exactly.
  explicit CompressingBuffer(std::size_t size);
  ~CompressingBuffer() override;
  CompressingBuffer(const CompressingBuffer&) = delete;
  CompressingBuffer& operator=(const CompressingBuffer&) = delete;

  /// Everything is written. Nothing when the number of bytes was another.
  [[nodiscard]] std::optional<Bytes> finish();

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override;
  int overflow(int character) override;

 private:
  class Stream;

  std::unique_ptr<Stream> m_stream;
};

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

/// Encodes a large value and compresses it on the way; decompress() and decode() bring it back.
template <typename T>
[[nodiscard]] Bytes encodeCompressed(const T& value) {
  const auto write = [&](std::streambuf& buffer) {
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  };
  CountingBuffer counter;
  write(counter);
  CompressingBuffer buffer(counter.size());
  write(buffer);
  return buffer.finish().value_or(Bytes{});
}

}  // namespace tackpick::base
