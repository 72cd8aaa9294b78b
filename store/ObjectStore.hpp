#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

/// Object in the platform's store. The version of an object only increases.
struct StoredObject
{
  std::string kind_;
  std::string name_;
  int64_t version_ = 0;
  std::string value_;
};

/// Expected version of a conditional update that must create the object.
inline constexpr int64_t kMustNotExist = 0;

/// The platform's object API. Errors:
/// - NotFound: no such object.
/// - FailedPrecondition: the version differs; nothing was written.
/// - Unavailable: the store did not receive the request or cannot serve it;
///   nothing was written.
/// - Unknown: the response was lost. The write may have taken effect, so the
///   caller reads the object back and compares.
/// - DeadlineExceeded (reads): no response in time.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual absl::StatusOr<StoredObject> Get(const std::string& aKind,
                                           const std::string& aName) = 0;
  virtual absl::StatusOr<std::vector<StoredObject>> List(
    const std::string& aKind) = 0;
  /// Replaces the object if its version is aExpectedVersion; kMustNotExist
  /// creates it. Returns the new version.
  virtual absl::StatusOr<int64_t> Put(const std::string& aKind,
                                      const std::string& aName,
                                      int64_t aExpectedVersion,
                                      const std::string& aValue) = 0;
  /// Deletes the object if its version is aExpectedVersion.
  virtual absl::Status Delete(const std::string& aKind,
                              const std::string& aName,
                              int64_t aExpectedVersion) = 0;
  /// Returns the objects of the kind that changed after store revision aSince.
  /// Waits up to aWaitMs for a change. aRevision is set to the store revision
  /// to pass as aSince next. A deleted object has version kMustNotExist and an
  /// empty value.
  virtual absl::StatusOr<std::vector<StoredObject>> Watch(
    const std::string& aKind,
    int64_t aSince,
    TimeMs aWaitMs,
    int64_t& aRevision) = 0;
};

}
