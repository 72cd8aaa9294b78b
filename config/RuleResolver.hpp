#pragma once

#include "FleetDocument.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Value of a field and the exception that set it; null for a default.
struct RuleOrigin
{
  const RuleField* field_ = nullptr;
  RuleValue value_;
  const RuleException* exception_ = nullptr;
};

/// Resolves the rules of one version of the document. The most specific
/// exception takes precedence: key before backend server, failure domain and
/// service. Immutable, so threads may share it; valid until NextExpiryMs().
class RuleResolver
{
public:
  /// Exceptions that have expired at aNowMs are left out.
  RuleResolver(const FleetDocument& aDocument, UnixMs aNowMs);

  /// Rules for aTarget. An exception that names a dimension does not apply when
  /// aTarget leaves that dimension empty.
  ServiceRules Resolve(const RuleScope& aTarget) const;
  /// All fields with their values and the exceptions that set them. The
  /// pointers are valid as long as the resolver.
  std::vector<RuleOrigin> Explain(const RuleScope& aTarget) const;
  /// Bit set of the dimensions that exceptions for aService name. Targets that
  /// differ only in other dimensions have the same rules, so a cache can leave
  /// these dimensions out of its key.
  uint8_t UsedDimensions(const std::string& aService) const;

  int64_t Version() const { return version_; }
  /// When the next exception expires; INT64_MAX when none does.
  UnixMs NextExpiryMs() const { return nextExpiryMs_; }

private:
  struct Entry
  {
    const RuleField* field_ = nullptr;
    RuleException exception_;
  };

  template<typename Visit>
  void ForEachMatch(const RuleScope& aTarget, Visit&& aVisit) const;

  int64_t version_ = 0;
  ServiceRules defaults_;
  /// Exceptions by service, sorted by specificity with the most specific last.
  /// The empty name holds the exceptions that name no service.
  std::map<std::string, std::vector<Entry>> byService_;
  UnixMs nextExpiryMs_ = INT64_MAX;
};

/// One rule that differs between two documents.
struct RuleDifference
{
  RuleScope target_;
  std::string field_;
  RuleValue from_;
  RuleValue to_;
};

/// Rules that differ between the documents, compared for the defaults and for
/// the scope of each exception in either document.
std::vector<RuleDifference> CompareRules(const FleetDocument& aFrom,
                                         const FleetDocument& aTo,
                                         UnixMs aNowMs);

}
