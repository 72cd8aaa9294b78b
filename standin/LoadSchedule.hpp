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

/// One request of the load and its repeats.
struct ScheduledRequest
{
  uint64_t number_ = 0;
  int64_t intendedUs_ = 0; ///< of the first send
  int64_t dueUs_ = 0;      ///< of this send
  int attempt_ = 1;
  bool isPost_ = false;
  size_t service_ = 0;
  size_t key_ = 0;
};

/// Which request is sent when: an open loop at a fixed rate, or as fast as the
/// connections allow. All draws come from the seed.
class LoadSchedule
{
public:
  LoadSchedule(const LoadOptions& aOptions, int64_t aStartUs);

  /// The next send, new or repeated; empty when the load has ended. The
  /// caller waits until it is due.
  std::optional<ScheduledRequest> Next(int64_t aNowUs);
  /// Sends the job again after aDelayUs; false when it was sent often enough.
  bool ScheduleRetry(ScheduledRequest aScheduled,
                     int64_t aNowUs,
                     int64_t aDelayUs);

private:
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
