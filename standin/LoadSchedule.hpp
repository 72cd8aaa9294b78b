#pragma once

#include "KeyPopularity.hpp"
#include "LoadOptions.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cactuspitch {

/// One request of the load and its repeats.
struct LoadJob
{
  uint64_t number_ = 0;
  int64_t intendedUs_ = 0; ///< of the first send
  int64_t dueUs_ = 0;      ///< of this send
  int send_ = 1;
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
  std::optional<LoadJob> Next(int64_t aNowUs);
  /// Sends the job again after aDelayUs; false when it was sent often enough.
  bool Repeat(LoadJob aJob, int64_t aNowUs, int64_t aDelayUs);

private:
  struct IsLater
  {
    bool operator()(const LoadJob& aLeft, const LoadJob& aRight) const
    {
      return aLeft.dueUs_ > aRight.dueUs_;
    }
  };

  LoadJob Draw(int64_t aDueUs);

  const LoadOptions& options_;
  const KeyPopularity popularity_;
  const int64_t startUs_;
  const int64_t endUs_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  uint64_t count_ = 0;
  std::priority_queue<LoadJob, std::vector<LoadJob>, IsLater> repeats_;
};

}
