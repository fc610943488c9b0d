/// \file
/// Metrics based on the Prometheus client library.
#pragma once

#include <memory>
#include <string>

#include "telemetry/metric.h"

namespace tackpick::telemetry {

/// Stores metrics with the Prometheus client library and renders its text format.
class PrometheusMetrics final : public Metrics {
 public:
  PrometheusMetrics();
  ~PrometheusMetrics() override;

  using Metrics::count;
  using Metrics::set;
  void count(CounterId id, std::string_view label, std::uint64_t increment) override;
  void set(GaugeId id, std::string_view label, double value) override;
  void observe(HistogramId id, base::Duration time) override;

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string render() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace tackpick::telemetry
