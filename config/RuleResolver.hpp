#pragma once

#include "FleetDocument.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Why a field has its value: the exception that set it, null for a default.
struct RuleOrigin
{
  const RuleField* field_ = nullptr;
  RuleValue value_;
  const RuleException* exception_ = nullptr;
};

/// Rules in force by one version of the document. The most specific exception
/// wins: key, backend server, failure domain, service. Immutable, so threads
/// may share it; valid until NextExpiryMs().
class RuleResolver
{
public:
  /// Exceptions that have expired at aNowMs are left out.
  RuleResolver(const FleetDocument& aDocument, UnixMs aNowMs);

  /// Unnamed dimensions of aTarget meet no exception that names them.
  ServiceRules Resolve(const RuleScope& aTarget) const;
  /// All fields with the reason for their values.
  std::vector<RuleOrigin> Explain(const RuleScope& aTarget) const;
  /// Dimensions that exceptions of the service name. Rules of targets that
  /// differ only in others are the same, so a cache can leave them out.
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
  /// By service and specificity, the most specific last; exceptions of any
  /// service are under the empty name.
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

/// Which rules a change alters, at the defaults and at the scope of each
/// exception of either document.
std::vector<RuleDifference> CompareRules(const FleetDocument& aFrom,
                                         const FleetDocument& aTo,
                                         UnixMs aNowMs);

}
