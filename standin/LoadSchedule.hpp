#pragma once

#include "LoadOptions.hpp"
#include "ZipfKeyDistribution.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

/// A request of the load, with its current attempt.
struct ScheduledRequest
{
  uint64_t number_ = 0;
  int64_t intendedUs_ = 0; ///< intended send time of the first attempt
  int64_t dueUs_ = 0;      ///< intended send time of this attempt
  int attempt_ = 1;
  bool isPost_ = false;
  size_t service_ = 0;
  size_t key_ = 0;
};

/// Generates the requests of a load and their send times: an open loop at a
/// fixed rate, or a closed loop that sends whenever a connection is free. All
/// random choices derive from the seed. Thread-safe.
class LoadSchedule
{
public:
  LoadSchedule(const LoadOptions& aOptions, int64_t aStartUs);

  /// Returns a new request or a retry, which the caller sends at dueUs_, or
  /// nothing when the load has ended.
  std::optional<ScheduledRequest> Next(int64_t aNowUs);
  /// Schedules another attempt aDelayUs after aNowUs. Returns false when the
  /// request has used all its attempts.
  bool ScheduleRetry(ScheduledRequest aScheduled,
                     int64_t aNowUs,
                     int64_t aDelayUs);

private:
  /// Orders the priority queue by the earliest send time.
  struct IsLater
  {
    bool operator()(const ScheduledRequest& aLeft,
                    const ScheduledRequest& aRight) const
    {
      return aLeft.dueUs_ > aRight.dueUs_;
    }
  };

  ScheduledRequest MakeRequest(int64_t aDueUs);

  const LoadOptions& options_;
  const ZipfKeyDistribution keyDistribution_;
  const int64_t startUs_;
  const int64_t endUs_;
  std::mutex mutex_;
  std::mt19937_64 randomEngine_;
  uint64_t requestCount_ = 0;
  std::priority_queue<ScheduledRequest, std::vector<ScheduledRequest>, IsLater>
    retries_;
};

}
