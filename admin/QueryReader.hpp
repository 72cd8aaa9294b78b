#pragma once

#include "common/Findings.hpp"
#include "config/RuleScope.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Query parameters of one request. Adds a finding for each parameter that is
/// malformed, repeated or unknown.
class QueryReader
{
public:
  QueryReader(std::string_view aQuery, Findings& aFindings);

  /// Value of a parameter; empty when it is absent. Adds a finding when the
  /// parameter is present without a value, or absent but required.
  std::string Text(const std::string& aName, bool aRequired);
  /// Nothing when the parameter is absent. Adds a finding and returns nothing
  /// when it isn't an integer from aMin to aMax.
  std::optional<int64_t> Integer(const std::string& aName,
                                 int64_t aMin,
                                 int64_t aMax);
  /// Scope read from the parameters that are named after the dimensions; absent
  /// ones are empty.
  RuleScope Target();
  /// Adds a finding for each parameter that none of the above calls named.
  void RefuseUnknown();

private:
  /// Decodes and stores one name=value pair.
  void AddParameter(std::string_view aPart);

  Findings& findings_;
  std::map<std::string, std::string> values_;
  std::set<std::string> requestedParameters_;
};

}
