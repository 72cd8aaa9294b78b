#pragma once

#include "common/GroupTable.hpp"

#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

/// Value of the store object of a group. Writer and change number tell a
/// writer whether a write whose answer was lost took effect.
struct GroupObject
{
  GroupTable table_;
  std::string writer_; ///< instance and start of the process
  int64_t change_ = 0;
  /// Instances of earlier terms that may still renew leases, because they were
  /// armed or nobody knows. Kept here until each is known to have stopped.
  std::vector<std::string> earlierRenewers_;
};

/// Version of a group object that does not exist (kMustNotExist of the store).
inline constexpr int64_t kNoVersion = 0;

/// Largest value that the store accepts.
inline constexpr size_t kMaxObjectBytes = 1 << 20;

/// ResourceExhausted when the object exceeds kMaxObjectBytes.
absl::StatusOr<std::string> EncodeGroup(const GroupObject& aObject);
/// InvalidArgument when the text is not a well-formed group.
absl::StatusOr<GroupObject> DecodeGroup(const std::string& aText);

}
