#include "Metrics.hpp"

#include "Strings.hpp"

#include <thread>

#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cactuspitch {

namespace acc = boost::accumulators;

namespace detail {

using DurationAccumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

std::string FormatLabels(const MetricLabels& aLabels)
{
  return absl::StrJoin(
    aLabels, ",", [](std::string* aText, const auto& aLabel) {
      AppendTo(*aText,
               aLabel.first,
               "=\"",
               absl::StrReplaceAll(
                 aLabel.second,
                 { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } }),
               "\"");
    });
}

std::string Series(const std::string& aName,
                   const std::string& aLabels,
                   const std::string& aExtra = {})
{
  const bool both = !aLabels.empty() && !aExtra.empty();
  const auto labels = Concat(aLabels, both ? "," : "", aExtra);
  return labels.empty() ? aName : Concat(aName, "{", labels, "}");
}

template<typename Family>
auto& FindOrCreate(Family& aFamily,
                   const std::string& aName,
                   const MetricLabels& aLabels)
{
  using Pointer = typename Family::mapped_type::mapped_type;
  auto& entry = aFamily[aName][FormatLabels(aLabels)];
  if (!entry) {
    entry = std::make_unique<typename Pointer::element_type>();
  }
  return *entry;
}

template<typename Family>
void AppendValues(std::string& aText, const Family& aFamily, const char* aType)
{
  for (const auto& [name, series] : aFamily) {
    AppendTo(aText, "# TYPE ", name, " ", aType, "\n");
    for (const auto& [labels, metric] : series) {
      AppendTo(aText, Series(name, labels), " ", metric->Value(), "\n");
    }
  }
}

}

struct DurationSummary::Shard
{
  Shard()
    : accumulator_(acc::extended_p_square_probabilities = kQuantiles)
  {
  }
  std::mutex mutex_;
  detail::DurationAccumulator accumulator_;
};

DurationSummary::DurationSummary()
{
  for (auto& shard : shards_) {
    shard = std::make_unique<Shard>();
  }
}

DurationSummary::~DurationSummary() = default;

void DurationSummary::Record(double aMs)
{
  static thread_local size_t index =
    std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  auto& shard = *shards_[index];
  const std::lock_guard lock(shard.mutex_);
  shard.accumulator_(aMs);
}

int64_t DurationSummary::Samples() const
{
  int64_t samples = 0;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex_);
    samples += static_cast<int64_t>(acc::count(shard->accumulator_));
  }
  return samples;
}

double DurationSummary::MeanMs() const
{
  double sum = 0;
  double samples = 0;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex_);
    const auto count = static_cast<double>(acc::count(shard->accumulator_));
    sum += count > 0 ? count * acc::mean(shard->accumulator_) : 0;
    samples += count;
  }
  return samples > 0 ? sum / samples : 0;
}

double DurationSummary::QuantileMs(size_t aIndex) const
{
  double sum = 0;
  double samples = 0;
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard->mutex_);
    const auto count = static_cast<double>(acc::count(shard->accumulator_));
    sum += count > 0
             ? count * acc::extended_p_square(shard->accumulator_)[aIndex]
             : 0;
    samples += count;
  }
  return samples > 0 ? sum / samples : 0;
}

Counter& MetricsRegistry::GetCounter(const std::string& aName,
                                     const MetricLabels& aLabels)
{
  const std::lock_guard lock(mutex_);
  return detail::FindOrCreate(counters_, aName, aLabels);
}

Gauge& MetricsRegistry::GetGauge(const std::string& aName,
                                 const MetricLabels& aLabels)
{
  const std::lock_guard lock(mutex_);
  return detail::FindOrCreate(gauges_, aName, aLabels);
}

DurationSummary& MetricsRegistry::GetSummary(const std::string& aName,
                                             const MetricLabels& aLabels)
{
  const std::lock_guard lock(mutex_);
  return detail::FindOrCreate(summaries_, aName, aLabels);
}

std::string MetricsRegistry::ToPrometheus() const
{
  const std::lock_guard lock(mutex_);
  std::string text;
  detail::AppendValues(text, counters_, "counter");
  detail::AppendValues(text, gauges_, "gauge");
  for (const auto& [name, series] : summaries_) {
    AppendTo(text, "# TYPE ", name, " summary\n");
    for (const auto& [labels, metric] : series) {
      for (size_t i = 0; i < DurationSummary::kQuantiles.size(); ++i) {
        const auto quantile =
          Concat("quantile=\"", DurationSummary::kQuantiles[i], "\"");
        AppendTo(text,
                 detail::Series(name, labels, quantile),
                 " ",
                 metric->QuantileMs(i),
                 "\n");
      }
      const auto samples = metric->Samples();
      AppendTo(text,
               detail::Series(name + "_sum", labels),
               " ",
               metric->MeanMs() * static_cast<double>(samples),
               "\n",
               detail::Series(name + "_count", labels),
               " ",
               samples,
               "\n");
    }
  }
  return text;
}

}
