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

/// The store limits a value to 1 MB; the rest is left for its own framing.
inline constexpr size_t kMaxDocumentBytes = 900 * 1024;
inline constexpr size_t kMaxExceptions = 1000;
/// The document reaches every daemon on every change, so the history is short.
/// It must hold the changes that others can make while a writer whose answer
/// was lost reads back.
inline constexpr size_t kMaxRecordedChanges = 128;
inline constexpr size_t kMaxReasonBytes = 256;

/// Rule of one scope that differs from the defaults.
struct RuleException
{
  std::string id_;
  RuleScope scope_;
  std::string field_;
  RuleValue value_;
  std::string reason_;
  std::string author_;
  UnixMs createdMs_ = 0;
  std::optional<UnixMs> expiresMs_;

  bool IsInForce(UnixMs aNowMs) const
  {
    return !expiresMs_ || *expiresMs_ > aNowMs;
  }
};

/// One accepted change, newest last in the document.
struct ChangeRecord
{
  std::string id_;
  int64_t version_ = 0;
  std::string author_;
  UnixMs timeMs_ = 0;
  std::string reason_;
  std::string summary_;
};

/// The object `config/fleet`.
struct FleetDocument
{
  int64_t version_ = 0;
  std::string writer_;
  int64_t changeNumber_ = 0;
  ServiceRules defaults_;
  std::vector<RuleException> exceptions_;
  std::vector<ChangeRecord> changes_;

  /// Null when the change is not among the recorded ones.
  const ChangeRecord* FindChange(std::string_view aId) const;
};

/// Nothing, and all findings, when the text is malformed.
std::optional<FleetDocument> ParseFleetDocument(std::string_view aText,
                                                Findings& aFindings);

/// Checks across fields and exceptions: duplicate ids, two exceptions for the
/// same scope and field, and contradictory values for any target.
void ValidateFleetDocument(const FleetDocument& aDocument,
                           UnixMs aNowMs,
                           Findings& aFindings);

/// Scope and value members of an exception, shared with the change request.
void ParseExceptionBody(class JsonReader& aReader,
                        RuleException& aException,
                        Findings& aFindings);

nlohmann::json ToJson(const FleetDocument& aDocument);
nlohmann::json ToJson(const ServiceRules& aRules);
nlohmann::json ToJson(const RuleScope& aScope);
nlohmann::json ToJson(const RuleException& aException);
nlohmann::json ToJson(const ChangeRecord& aChange);

}
