#include "base/compression.h"

#include <zstd.h>

#include <array>
#include <ostream>

namespace tackpick::base {
namespace {

constexpr char kPlain = 0;
constexpr char kCompressed = 1;
/// Shorter messages hardly shrink.
constexpr std::size_t kLeastBytes = 160;
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
  if (bytes.size() < kLeastBytes) {
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

/// The compressor's state behind a CompressingBuffer.
class CompressingBuffer::Stream {
 public:
  explicit Stream(std::size_t size) : m_context(makeContext()), m_bytes(1, kCompressed) {
    ZSTD_CCtx_setPledgedSrcSize(m_context.get(), size);
  }

  void write(const char* data, std::size_t size, ZSTD_EndDirective directive) {
    constexpr std::size_t kChunk = 32U << 10U;
    std::array<char, kChunk> chunk{};
    ZSTD_inBuffer input{data, size, 0};
    for (bool more = true; more && !m_failed;) {
      ZSTD_outBuffer output{chunk.data(), chunk.size(), 0};
      const std::size_t left = ZSTD_compressStream2(m_context.get(), &output, &input, directive);
      m_failed = ZSTD_isError(left) != 0;
      m_bytes.append(chunk.data(), output.pos);
      more = directive == ZSTD_e_end ? left != 0 : input.pos < input.size;
    }
  }

  [[nodiscard]] std::optional<Bytes> take() {
    return m_failed ? std::nullopt : std::optional(std::move(m_bytes));
  }

 private:
  const Context m_context;
  Bytes m_bytes;
  bool m_failed = false;
};

CompressingBuffer::CompressingBuffer(std::size_t size) : m_stream(std::make_unique<Stream>(size)) {}

CompressingBuffer::~CompressingBuffer() = default;

std::streamsize CompressingBuffer::xsputn(const char* data, std::streamsize size) {
  m_stream->write(data, static_cast<std::size_t>(size), ZSTD_e_continue);
  return size;
}

int CompressingBuffer::overflow(int character) {
  const char byte = static_cast<char>(character);
  m_stream->write(&byte, 1, ZSTD_e_continue);
  return character;
}

std::optional<Bytes> CompressingBuffer::finish() {
  m_stream->write(nullptr, 0, ZSTD_e_end);
  return m_stream->take();
}

}  // namespace tackpick::base
