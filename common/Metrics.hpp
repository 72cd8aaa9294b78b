#pragma once

#include "HttpConnection.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cactuspitch {

/// Label names and values of one time series, in a fixed order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic counter; adding is lock-free.
class Counter
{
public:
  void Add(int64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  int64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<int64_t> value_ = 0;
};

/// Value that can go up and down; the last one set is reported.
class Gauge
{
public:
  void Set(double aValue) { value_.store(aValue, std::memory_order_relaxed); }
  double Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_ = 0;
};

/// Mean and estimated quantiles of a duration (P-square algorithm of
/// Boost.Accumulators). Samples are spread over shards, so that concurrent
/// threads rarely share a lock.
class DurationSummary
{
public:
  DurationSummary();
  ~DurationSummary();
  void Record(double aMs);
  int64_t Samples() const;
  double MeanMs() const;
  /// Estimate of kQuantiles[aIndex]: the mean of the shards' estimates,
  /// weighted by their samples.
  double QuantileMs(size_t aIndex) const;

  static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };

private:
  struct Shard;
  static constexpr size_t kShards = 8;
  std::array<std::unique_ptr<Shard>, kShards> shards_;
};

/// Named metrics of a process, created on first use. References stay valid for
/// the lifetime of the registry, so hot paths look up a metric only once.
class MetricsRegistry
{
public:
  Counter& GetCounter(const std::string& aName,
                      const MetricLabels& aLabels = {});
  Gauge& GetGauge(const std::string& aName, const MetricLabels& aLabels = {});
  DurationSummary& GetSummary(const std::string& aName,
                              const MetricLabels& aLabels = {});
  /// Formats all metrics in the Prometheus text exposition format.
  std::string ToPrometheus() const;

private:
  template<typename Metric>
  using Family =
    std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

  mutable std::mutex mutex_;
  Family<Counter> counters_;
  Family<Gauge> gauges_;
  Family<DurationSummary> summaries_;
};

}
