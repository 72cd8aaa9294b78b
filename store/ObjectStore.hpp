#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

/// Object of the platform's store. Versions of one object only grow.
struct StoredObject
{
  std::string kind_;
  std::string name_;
  int64_t version_ = 0;
  std::string value_;
};

/// Version that a conditional update expects when the object must not exist.
inline constexpr int64_t kMustNotExist = 0;

/// The platform's object API. Errors:
/// - NotFound: no such object.
/// - FailedPrecondition: the version differs; nothing was written.
/// - Unavailable: the store did not get the request; nothing was written.
/// - Unknown: the answer was lost; the write may have taken effect, so the
///   caller reads the object back and compares.
/// - DeadlineExceeded (reads): no answer in time.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual absl::StatusOr<StoredObject> Get(const std::string& aKind,
                                           const std::string& aName) = 0;
  virtual absl::StatusOr<std::vector<StoredObject>> List(
    const std::string& aKind) = 0;
  /// Replaces the object if it still has aExpectedVersion; the new version.
  virtual absl::StatusOr<int64_t> Put(const std::string& aKind,
                                      const std::string& aName,
                                      int64_t aExpectedVersion,
                                      const std::string& aValue) = 0;
  virtual absl::Status Delete(const std::string& aKind,
                              const std::string& aName,
                              int64_t aExpectedVersion) = 0;
  /// Objects of the kind changed after aSince, waiting up to aWaitMs for one.
  /// aRevision receives the store revision to continue from. A deleted object
  /// is reported with version kMustNotExist and an empty value.
  virtual absl::StatusOr<std::vector<StoredObject>> Watch(
    const std::string& aKind,
    int64_t aSince,
    TimeMs aWaitMs,
    int64_t& aRevision) = 0;
};

}
