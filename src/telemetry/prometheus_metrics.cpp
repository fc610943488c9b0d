#include "telemetry/prometheus_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace tackpick::telemetry {
namespace {

/// Upper bounds of the histogram buckets in seconds, denser around the latency objectives.
const prometheus::Histogram::BucketBoundaries kBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0, 40.0};

/// Returns the numeric value of `id`, used as the key in the maps of Implementation.
template <typename Id>
std::uint8_t indexOf(Id id) {
  return static_cast<std::uint8_t>(id);
}

}  // namespace

struct PrometheusMetrics::Implementation {
  prometheus::Registry registry;
  std::map<std::uint8_t, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::uint8_t, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::uint8_t, prometheus::Histogram*> histograms;
  std::map<std::uint8_t, std::string> counterLabels;
  std::map<std::uint8_t, std::string> gaugeLabels;

  void add(const MetricDescription& metric) {
    const std::string name(metric.name);
    const std::string help(metric.help);
    switch (metric.kind) {
      case MetricKind::kCounter:
        counters[metric.id] = &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        counterLabels[metric.id] = metric.label;
        break;
      case MetricKind::kGauge:
        gauges[metric.id] = &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
        gaugeLabels[metric.id] = metric.label;
        break;
      case MetricKind::kHistogram:
        histograms[metric.id] =
            &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({},
                                                                                       kBuckets);
        break;
    }
  }

  static prometheus::Labels labels(const std::string& name, std::string_view value) {
    return name.empty() ? prometheus::Labels{} : prometheus::Labels{{name, std::string(value)}};
  }
};

PrometheusMetrics::PrometheusMetrics() : m_implementation(std::make_unique<Implementation>()) {
  for (const MetricDescription& metric : metricCatalogue()) {
    m_implementation->add(metric);
  }
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::count(CounterId id, std::string_view label, std::uint64_t increment) {
  const std::string& name = m_implementation->counterLabels.at(indexOf(id));
  m_implementation->counters.at(indexOf(id))
      ->Add(Implementation::labels(name, label))
      .Increment(static_cast<double>(increment));
}

void PrometheusMetrics::set(GaugeId id, std::string_view label, double value) {
  const std::string& name = m_implementation->gaugeLabels.at(indexOf(id));
  m_implementation->gauges.at(indexOf(id))->Add(Implementation::labels(name, label)).Set(value);
}

void PrometheusMetrics::observe(HistogramId id, base::Duration time) {
  m_implementation->histograms.at(indexOf(id))->Observe(base::toSeconds(time));
}

std::string PrometheusMetrics::render() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, m_implementation->registry.Collect());
  return out.str();
}

}  // namespace tackpick::telemetry
