#pragma once

#include "RuleField.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

/// Unix time in milliseconds, for dates that operators see.
using UnixMs = int64_t;

/// The store limits a value to 1 MB; the remainder is left for its framing.
inline constexpr size_t kMaxDocumentBytes = 900 * 1024;
inline constexpr size_t kMaxExceptions = 1000;
/// Every change sends the document to every daemon, so the history is short. It
/// must hold all changes that other writers can make while a writer whose
/// response was lost reads the document back.
inline constexpr size_t kMaxRecordedChanges = 128;
inline constexpr size_t kMaxReasonBytes = 256;

/// Value of one field that differs from the defaults within one scope.
struct RuleException
{
  std::string id_;
  RuleScope scope_;
  std::string field_;
  RuleValue value_;
  std::string reason_;
  std::string author_;
  UnixMs createdMs_ = 0;
  std::optional<UnixMs> expiresMs_; ///< never expires when absent

  bool IsInForce(UnixMs aNowMs) const
  {
    return !expiresMs_ || *expiresMs_ > aNowMs;
  }
};

/// One accepted change. A document lists the newest change last.
struct ChangeRecord
{
  std::string id_;
  int64_t version_ = 0;
  std::string author_;
  UnixMs timeMs_ = 0;
  std::string reason_;
  std::string summary_;
};

/// Content of the store object `config/fleet`.
struct FleetDocument
{
  int64_t version_ = 0;
  std::string writer_;       ///< editor that wrote this version
  int64_t changeNumber_ = 0; ///< number of the change at that editor
  ServiceRules defaults_;
  std::vector<RuleException> exceptions_;
  std::vector<ChangeRecord> changes_;

  /// Null when no recorded change has this id.
  const ChangeRecord* FindChange(std::string_view aId) const;
};

/// Parses a document from JSON. Returns nothing and adds all findings when
/// aText is malformed.
std::optional<FleetDocument> ParseFleetDocument(std::string_view aText,
                                                Findings& aFindings);

/// Checks that span fields and exceptions: duplicate ids, two exceptions for
/// the same scope and field, and contradictory values for any target.
void ValidateFleetDocument(const FleetDocument& aDocument,
                           UnixMs aNowMs,
                           Findings& aFindings);

/// Reads the members that a stored exception and one in a change request have
/// in common: all except author and creation time.
void ParseExceptionBody(class JsonReader& aReader,
                        RuleException& aException,
                        Findings& aFindings);

nlohmann::json ToJson(const FleetDocument& aDocument);
nlohmann::json ToJson(const ServiceRules& aRules);
nlohmann::json ToJson(const RuleScope& aScope);
nlohmann::json ToJson(const RuleException& aException);
nlohmann::json ToJson(const ChangeRecord& aChange);

}
