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

/// Query parameters of one request. Malformed, repeated and unknown ones are
/// findings.
class QueryReader
{
public:
  QueryReader(std::string_view aQuery, Findings& aFindings);

  /// Empty when absent; a finding when required or empty.
  std::string Text(const std::string& aName, bool aRequired);
  std::optional<int64_t> Integer(const std::string& aName,
                                 int64_t aMin,
                                 int64_t aMax);
  /// Parameters named as the scope dimensions.
  RuleScope Target();
  /// Every parameter that was not asked for is a finding.
  void RefuseUnknown();

private:
  void AddParameter(std::string_view aPart);

  Findings& findings_;
  std::map<std::string, std::string> values_;
  std::set<std::string> requestedParameters_;
};

}
