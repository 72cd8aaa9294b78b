#pragma once

#include "common/GroupTable.hpp"

#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace cactuspitch {

/// Value of a group's object in the store. The writer and the change number
/// tell a writer whether a write whose response was lost took effect.
struct GroupObject
{
  GroupTable table_;
  std::string writer_; ///< instance and start time of its process
  int64_t change_ = 0;
  /// Instances of earlier terms that may still renew leases, because they were
  /// armed or their state is unknown. Each stays listed until it is known to
  /// have stopped.
  std::vector<std::string> earlierRenewers_;
};

/// Version of a group object that does not exist (kMustNotExist of the store).
inline constexpr int64_t kNoVersion = 0;

/// Size limit of a value in the store.
inline constexpr size_t kMaxObjectBytes = 1 << 20;

/// Returns ResourceExhausted when the encoded object exceeds kMaxObjectBytes.
absl::StatusOr<std::string> EncodeGroup(const GroupObject& aObject);
/// Returns InvalidArgument when the text is not a well-formed group object.
absl::StatusOr<GroupObject> DecodeGroup(const std::string& aText);

}
