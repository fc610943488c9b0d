#include "base/compression.h"

#include <zstd.h>

#include <memory>

namespace tackpick::base {
namespace {

constexpr char kUncompressed = 0;
constexpr char kCompressed = 1;
/// Messages below this size are stored uncompressed.
constexpr std::size_t kMinBytes = 160;
/// The fastest level that uses entropy coding.
constexpr int kCompressionLevel = 1;
/// Small window and hash table, to limit the memory per thread.
constexpr int kWindowLog = 16;
constexpr int kHashLog = 12;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
using Context = std::unique_ptr<ZSTD_CCtx, ContextDeleter>;

Context makeContext() {
  Context context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_hashLog, kHashLog);
  return context;
}

ZSTD_CCtx* sharedContext() {
  static thread_local const Context context = makeContext();
  return context.get();
}

Bytes markUncompressed(const Bytes& bytes) {
  Bytes output;
  output.reserve(bytes.size() + 1);
  output.push_back(kUncompressed);
  output += bytes;
  return output;
}

/// Whether compressing a long message is not worth its time, judged by a sample from its middle.
bool isIncompressible(const Bytes& bytes) {
  constexpr std::size_t kLongBytes = 1U << 20U;
  constexpr std::size_t kSampleBytes = 64U << 10U;
  constexpr std::size_t kMinSavedBytes = kSampleBytes / 32;
  if (bytes.size() < kLongBytes) {
    return false;
  }
  Bytes compressed(ZSTD_compressBound(kSampleBytes), 0);
  const char* const sample = bytes.data() + bytes.size() / 2;
  const std::size_t size =
      ZSTD_compress2(sharedContext(), compressed.data(), compressed.size(), sample, kSampleBytes);
  return ZSTD_isError(size) != 0 || size + kMinSavedBytes > kSampleBytes;
}

}  // namespace

Bytes compress(const Bytes& bytes) {
  if (bytes.size() < kMinBytes || isIncompressible(bytes)) {
    return markUncompressed(bytes);
  }
  Bytes compressed(1 + ZSTD_compressBound(bytes.size()), kCompressed);
  const std::size_t size = ZSTD_compress2(sharedContext(), compressed.data() + 1,
                                          compressed.size() - 1, bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0 || size >= bytes.size()) {
    compressed.front() = kUncompressed;
    compressed.replace(1, Bytes::npos, bytes);
    return compressed;
  }
  compressed.resize(1 + size);
  return compressed;
}

std::optional<Bytes> decompress(const Bytes& compressed, std::size_t maxSize) {
  if (compressed.empty() || compressed.size() - 1 > maxSize) {
    return std::nullopt;
  }
  if (compressed.front() == kUncompressed) {
    return compressed.substr(1);
  }
  const char* data = compressed.data() + 1;
  const std::size_t length = compressed.size() - 1;
  // zstd reports unknown sizes and errors as values above any valid size.
  const unsigned long long size = ZSTD_getFrameContentSize(data, length);
  if (compressed.front() != kCompressed || size > maxSize) {
    return std::nullopt;
  }
  Bytes bytes(size, '\0');
  if (ZSTD_decompress(bytes.data(), bytes.size(), data, length) != bytes.size()) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace tackpick::base
