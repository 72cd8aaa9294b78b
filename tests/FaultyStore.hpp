#pragma once

#include "store/ObjectStore.hpp"

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Percentages of calls that fail.
struct StoreFaults
{
  int unavailable_ = 0;  ///< not written, returns Unavailable
  int lostResponse_ = 0; ///< written, returns Unknown
  int lostRequest_ = 0;  ///< not written, returns Unknown
  int delayedWrite_ = 0; ///< returns Unknown, written a few calls later
};

/// In-memory ObjectStore that injects random faults.
class FaultyStore final : public ObjectStore
{
public:
  explicit FaultyStore(StoreFaults aFaults = {}, unsigned aSeed = 1)
    : faults_(aFaults)
    , random_(aSeed)
  {
  }

  absl::StatusOr<StoredObject> Get(const std::string& aKind,
                                   const std::string& aName) override
  {
    const std::lock_guard lock(mutex_);
    ApplyDelayedWrites();
    if (ShouldFail(faults_.unavailable_)) {
      return absl::UnavailableError("store is unavailable");
    }
    const auto found = objects_.find({ aKind, aName });
    if (found == objects_.end()) {
      return absl::NotFoundError(aName);
    }
    return found->second;
  }

  absl::StatusOr<std::vector<StoredObject>> List(
    const std::string& aKind) override
  {
    const std::lock_guard lock(mutex_);
    ApplyDelayedWrites();
    std::vector<StoredObject> result;
    for (const auto& [name, object] : objects_) {
      if (name.first == aKind) {
        result.push_back(object);
      }
    }
    return result;
  }

  absl::StatusOr<int64_t> Put(const std::string& aKind,
                              const std::string& aName,
                              int64_t aExpectedVersion,
                              const std::string& aValue) override
  {
    const std::lock_guard lock(mutex_);
    ApplyDelayedWrites();
    ++puts_;
    StoredObject write{ aKind, aName, aExpectedVersion, aValue };
    if (ShouldFail(faults_.unavailable_)) {
      return absl::UnavailableError("store is unavailable");
    }
    if (ShouldFail(faults_.lostRequest_)) {
      return absl::UnknownError("no response");
    }
    if (ShouldFail(faults_.delayedWrite_)) {
      delayed_.emplace_back(std::uniform_int_distribution(1, 6)(random_),
                            std::move(write));
      return absl::UnknownError("no response");
    }
    auto version = Write(write);
    if (ShouldFail(faults_.lostResponse_)) {
      return absl::UnknownError("no response");
    }
    return version;
  }

  absl::Status Delete(const std::string& aKind,
                      const std::string& aName,
                      int64_t aExpectedVersion) override
  {
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find({ aKind, aName });
    if (found == objects_.end()) {
      return absl::NotFoundError(aName);
    }
    if (found->second.version_ != aExpectedVersion) {
      return absl::FailedPreconditionError("version differs");
    }
    objects_.erase(found);
    return absl::OkStatus();
  }

  absl::StatusOr<std::vector<StoredObject>> Watch(const std::string&,
                                                  int64_t,
                                                  TimeMs,
                                                  int64_t&) override
  {
    return absl::UnimplementedError("watch is not supported");
  }

  void SetFaults(StoreFaults aFaults)
  {
    const std::lock_guard lock(mutex_);
    faults_ = aFaults;
  }

  int Puts() const
  {
    const std::lock_guard lock(mutex_);
    return puts_;
  }

private:
  bool ShouldFail(int aPercent)
  {
    return std::uniform_int_distribution(0, 99)(random_) < aPercent;
  }

  absl::StatusOr<int64_t> Write(const StoredObject& aWrite)
  {
    auto& object = objects_[{ aWrite.kind_, aWrite.name_ }];
    if (object.version_ != aWrite.version_) {
      return absl::FailedPreconditionError("version differs");
    }
    object = aWrite;
    object.version_ = ++revision_;
    return object.version_;
  }

  void ApplyDelayedWrites()
  {
    for (auto& [calls, write] : delayed_) {
      if (--calls == 0) {
        [[maybe_unused]] const auto written = Write(write);
      }
    }
    std::erase_if(delayed_,
                  [](const auto& aWrite) { return aWrite.first <= 0; });
  }

  mutable std::mutex mutex_;
  StoreFaults faults_;
  std::minstd_rand random_;
  std::map<std::pair<std::string, std::string>, StoredObject> objects_;
  std::vector<std::pair<int, StoredObject>> delayed_;
  int64_t revision_ = 0;
  int puts_ = 0;
};

}
