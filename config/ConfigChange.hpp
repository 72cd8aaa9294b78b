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
/// Expired exceptions stay listed for this long, then a change removes them.
inline constexpr UnixMs kExpiredRetentionMs = 86400000;

/// One change by an operator, made against baseVersion_ of the document.
struct ConfigChange
{
  int64_t baseVersion_ = 0;
  /// Chosen by the client to recognise its own change when it sends it again;
  /// the editor makes one up when empty.
  std::string id_;
  std::string author_;
  std::string reason_;
  std::vector<std::pair<const RuleField*, RuleValue>> defaults_;
  std::vector<RuleException> add_;
  std::vector<std::string> retire_;

  std::string Summary() const;
};

/// Nothing, and all findings, when the text is malformed.
std::optional<ConfigChange> ParseConfigChange(std::string_view aText,
                                              Findings& aFindings);

/// The document after the change. Nothing, and all findings, when the change
/// or the changed document is invalid; the base version is not compared.
std::optional<FleetDocument> ApplyChange(const FleetDocument& aDocument,
                                         const ConfigChange& aChange,
                                         UnixMs aNowMs,
                                         Findings& aFindings);

}
