#pragma once

#include "ConfigChange.hpp"
#include "common/Clock.hpp"
#include "common/EnumNames.hpp"
#include "store/ObjectStore.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

inline constexpr const char kConfigKind[] = "config";
inline constexpr const char kConfigName[] = "fleet";

enum class ChangeOutcome : uint8_t
{
  Accepted,
  Conflict,    ///< the base version is not the newest; nothing was changed
  Invalid,     ///< refused with findings; nothing was changed
  Unavailable, ///< the change did not reach the store; nothing was changed
  Unknown,     ///< the change may take effect; submit it again with its id
  Count
};

template<>
struct EnumNames<ChangeOutcome>
{
  static constexpr std::string_view kNames[] = {
    "accepted", "conflict", "invalid", "unavailable", "unknown",
  };
};

struct ChangeResult
{
  ChangeOutcome outcome_ = ChangeOutcome::Unavailable;
  std::string id_;
  /// Version that contains the change when accepted, otherwise the newest
  /// known.
  int64_t version_ = 0;
  Findings findings_;
  /// On a conflict, the recorded changes since the base version.
  std::vector<ChangeRecord> since_;
  /// True when since_ does not reach back to the base version.
  bool isTruncated_ = false;
  std::string error_;
};

/// Object `config/fleet` as read from the store.
struct StoredDocument
{
  FleetDocument document_;
  int64_t storeVersion_ = kMustNotExist; ///< object version in the store
};

/// Reads and changes the configuration. Every change is one conditional update
/// of the store. When its response is lost, the change ids recorded in the
/// document show whether it was written. Thread-safe if the store is.
class ConfigEditor
{
public:
  using UnixClock = std::function<UnixMs()>;

  /// aWriter must be unique among all processes and their restarts.
  ConfigEditor(ObjectStore& aStore,
               const Clock& aClock,
               UnixClock aUnixClock,
               std::string aWriter);

  /// Returns the built-in defaults with version 0 when nothing was ever stored.
  /// InvalidArgument: the stored text is malformed. FailedPrecondition: the
  /// store returned an older version than one seen before.
  absl::StatusOr<StoredDocument> Read();

  /// Retries transient failures of the store until aDeadlineMs (steady clock).
  /// A change whose id is recorded already is reported as accepted and not
  /// applied again.
  ChangeResult Submit(ConfigChange aChange, TimeMs aDeadlineMs);

  /// Records a version that other processes have in force, so that Read()
  /// rejects an older or missing object.
  void ObserveVersion(int64_t aVersion);

private:
  std::string MakeChangeId(int64_t aNumber) const;
  ChangeResult MakeConflictResult(const FleetDocument& aDocument,
                                  const ConfigChange& aChange,
                                  bool aMayBeWritten) const;
  void WaitBeforeRetry(TimeMs aDeadlineMs) const;

  ObjectStore& store_;
  const Clock& clock_;
  UnixClock unixClock_;
  std::string writer_;
  std::atomic<int64_t> changeCount_ = 0;
  std::atomic<int64_t> largestVersion_ = 0;
};

}
