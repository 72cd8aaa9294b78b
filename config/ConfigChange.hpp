#pragma once

#include "FleetDocument.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuspitch {

inline constexpr size_t kMaxChangeBytes = 64 * 1024;
inline constexpr size_t kMaxChangeEntries = 100;
/// Expired exceptions stay in the document for this long (one day); the next
/// change after that removes them.
inline constexpr UnixMs kExpiredRetentionMs = 86400000;

/// One change by an operator, based on version baseVersion_ of the document.
struct ConfigChange
{
  int64_t baseVersion_ = 0;
  /// Set by the client, so that a change sent again is recognised as the same
  /// change; ConfigEditor generates an id when empty.
  std::string id_;
  std::string author_;
  std::string reason_;
  std::vector<std::pair<const RuleField*, RuleValue>> defaults_;
  std::vector<RuleException> add_;
  std::vector<std::string> retire_;

  /// Text for the history, such as "maxAttempts=4; -id1; +id2 queueLimit=9
  /// (service=a)".
  std::string Summary() const;
};

/// Parses a change from JSON. Returns nothing and adds all findings when aText
/// is malformed.
std::optional<ConfigChange> ParseConfigChange(std::string_view aText,
                                              Findings& aFindings);

/// Returns the document after the change, or nothing and all findings when the
/// change or the changed document is invalid. Does not compare the base version
/// with the version of aDocument.
std::optional<FleetDocument> ApplyChange(const FleetDocument& aDocument,
                                         const ConfigChange& aChange,
                                         UnixMs aNowMs,
                                         Findings& aFindings);

}
