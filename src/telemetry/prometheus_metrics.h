/// \file
/// Metrics kept by the Prometheus client library and written in its text format.
#pragma once

#include <memory>
#include <string>

#include "telemetry/metric.h"

namespace tackpick::telemetry {

class PrometheusMetrics final : public Metrics {
 public:
  PrometheusMetrics();
  ~PrometheusMetrics() override;

  using Metrics::count;
  using Metrics::set;
  void count(CounterId id, std::string_view label, std::uint64_t times) override;
  void set(GaugeId id, std::string_view label, double value) override;
  void observe(HistogramId id, base::Duration time) override;

  /// All figures in the text format that scrapers read.
  [[nodiscard]] std::string text() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace tackpick::telemetry
