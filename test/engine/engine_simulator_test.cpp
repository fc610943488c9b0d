#include "engine/engine_simulator.h"

#include <criterion/criterion.h>

#include "engine/content.h"

namespace base = tackpick::base;
namespace engine = tackpick::engine;

namespace {

constexpr base::TimePoint kStart{base::seconds(10)};

struct EngineFixture {
  EngineFixture() : model({1}, {1}, {}, store, random, kStart) {}

  engine::GenerateRequest request(std::uint64_t attempt, std::uint32_t tokens) const {
    engine::GenerateRequest generate;
    generate.attempt = {attempt};
    generate.model = "default";
    generate.prompt = engine::lengthDirective(tokens) + "prompt";
    generate.maximumTokens = 1000;
    return generate;
  }
  engine::EngineOutput runUntil(base::TimePoint end) {
    engine::EngineOutput output;
    model.advance(end, output);
    return output;
  }
  engine::EngineCommandReply execute(engine::EngineCommandKind kind, std::uint64_t version,
                                     base::Fence fence, base::TimePoint now) {
    engine::EngineCommand command;
    command.kind = kind;
    command.version = {version};
    command.fence = fence;
    return model.execute(command, now);
  }

  base::SeededRandom random{1};
  engine::WeightStore store{20'000'000'000};
  engine::EngineSimulator model;
};

}  // namespace

Test(engine_simulator, produces_the_answer_of_prompt_seed_and_version) {
  EngineFixture fixture;
  cr_assert_not(fixture.model.submit(fixture.request(1, 10), kStart).has_value());
  const engine::EngineOutput output = fixture.runUntil(kStart + base::seconds(2));
  std::uint32_t position = 0;
  for (const engine::Chunk& chunk : output.chunks) {
    cr_assert_eq(chunk.offset, position);
    for (const engine::Token token : chunk.tokens) {
      cr_assert_eq(token, engine::syntheticToken(engine::lengthDirective(10) + "prompt", 0, {1},
                                                 position++));
    }
  }
  cr_assert_eq(position, 10U);
  cr_assert_eq(output.ends.size(), 1U);
}

Test(engine_simulator, resumes_from_an_offset_and_cancels) {
  EngineFixture fixture;
  engine::GenerateRequest resumed = fixture.request(1, 10);
  resumed.resumeFrom = 6;
  fixture.model.submit(resumed, kStart);
  fixture.model.submit(fixture.request(2, 500), kStart);
  fixture.model.cancel({2});
  const engine::EngineOutput output = fixture.runUntil(kStart + base::seconds(5));
  cr_assert_eq(output.chunks.front().offset, 6U);
  cr_assert_eq(output.ends.size(), 1U, "no end is reported for a cancelled attempt");
}

Test(engine_simulator, stale_fences_are_rejected) {
  EngineFixture fixture;
  using Kind = engine::EngineCommandKind;
  cr_assert(fixture.execute(Kind::kPrepareWeights, 2, {3, 1}, kStart).status ==
            engine::EngineCommandStatus::kAccepted);
  cr_assert(fixture.execute(Kind::kPrepareWeights, 1, {2, 9}, kStart).status ==
            engine::EngineCommandStatus::kStaleFence);
  cr_assert(fixture.execute(Kind::kActivateWeights, 2, {3, 2}, kStart).status ==
            engine::EngineCommandStatus::kNotPrepared);
}

Test(engine_simulator, engine_is_out_of_service_after_a_failed_swap_until_a_swap_succeeds) {
  EngineFixture fixture;
  using Kind = engine::EngineCommandKind;
  fixture.execute(Kind::kPrepareWeights, 2, {1, 1}, kStart);
  fixture.runUntil(kStart + base::seconds(1));
  fixture.model.failNextSwap();
  fixture.model.submit(fixture.request(1, 900), kStart + base::seconds(1));
  fixture.execute(Kind::kActivateWeights, 2, {1, 2}, kStart + base::seconds(1));
  const engine::EngineOutput output = fixture.runUntil(kStart + base::seconds(3));
  cr_assert(output.ends.back().kind == engine::EndKind::kFailed);
  cr_assert_not(fixture.model.status().activeVersion.valid());
  cr_assert(fixture.model.submit(fixture.request(2, 5), kStart + base::seconds(3)).has_value());
  fixture.execute(Kind::kPrepareWeights, 2, {1, 3}, kStart + base::seconds(3));
  fixture.runUntil(kStart + base::seconds(5));
  fixture.execute(Kind::kActivateWeights, 2, {1, 4}, kStart + base::seconds(5));
  fixture.runUntil(kStart + base::seconds(7));
  cr_assert_eq(fixture.model.status().activeVersion.value, 2U);
}

Test(engine_simulator, exported_cache_is_found_again_after_import) {
  EngineFixture fixture;
  EngineFixture other;
  engine::GenerateRequest request = fixture.request(1, 5);
  request.prompt += std::string(300, 'x');
  fixture.model.submit(request, kStart);
  fixture.runUntil(kStart + base::seconds(1));
  const engine::CacheExport exported = fixture.model.exportCache(request.prompt);
  cr_assert_gt(exported.blocks.size(), 0U);
  other.model.importCache(exported, kStart);
  cr_assert_eq(other.model.exportCache(request.prompt).blocks.size(), exported.blocks.size());
}
