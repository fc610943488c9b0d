#include "base/compression.h"

#include <zstd.h>

#include <memory>

namespace tackpick::base {
namespace {

constexpr char kPlain = 0;
constexpr char kCompressed = 1;
/// Shorter messages hardly shrink.
constexpr std::size_t kMinBytes = 160;
/// The fastest level that still encodes single bytes by their frequency.
constexpr int kLevel = 1;
/// Small tables: texts repeat little over long distances, and memory counts.
constexpr int kWindowLog = 16;
constexpr int kHashLog = 12;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
using Context = std::unique_ptr<ZSTD_CCtx, ContextDeleter>;

Context makeContext() {
  Context context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_hashLog, kHashLog);
  return context;
}

ZSTD_CCtx* sharedContext() {
  static thread_local const Context context = makeContext();
  return context.get();
}

Bytes plain(const Bytes& bytes) {
  Bytes marked;
  marked.reserve(bytes.size() + 1);
  marked.push_back(kPlain);
  marked += bytes;
  return marked;
}

}  // namespace

Bytes compress(const Bytes& bytes) {
  if (bytes.size() < kMinBytes) {
    return plain(bytes);
  }
  Bytes compressed(1 + ZSTD_compressBound(bytes.size()), kCompressed);
  const std::size_t size = ZSTD_compress2(sharedContext(), compressed.data() + 1,
                                          compressed.size() - 1, bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0 || size >= bytes.size()) {
    return plain(bytes);
  }
  compressed.resize(1 + size);
  return compressed;
}

std::optional<Bytes> decompress(const Bytes& compressed, std::size_t limit) {
  if (compressed.empty() || compressed.size() - 1 > limit) {
    return std::nullopt;
  }
  if (compressed.front() == kPlain) {
    return compressed.substr(1);
  }
  const char* data = compressed.data() + 1;
  const std::size_t length = compressed.size() - 1;
  // Unknown sizes and errors are huge numbers.
  const unsigned long long size = ZSTD_getFrameContentSize(data, length);
  if (compressed.front() != kCompressed || size > limit) {
    return std::nullopt;
  }
  Bytes bytes(size, '\0');
  if (ZSTD_decompress(bytes.data(), bytes.size(), data, length) != bytes.size()) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace tackpick::base
