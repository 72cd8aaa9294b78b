#pragma once

#include "RuleScope.hpp"
#include "ServiceRules.hpp"
#include "common/Findings.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

using RuleValue = std::variant<int64_t, double, std::string>;

using RuleMember = std::variant<int64_t ServiceRules::*,
                                double ServiceRules::*,
                                std::string ServiceRules::*>;

/// Describes one field of ServiceRules. The table of all fields drives parsing,
/// validation, help and resolution.
struct RuleField
{
  std::string_view name_; ///< in JSON and on the command line
  RuleMember member_;
  double min_ = 0; ///< smallest valid number
  double max_ = 0; ///< largest valid number
  std::string_view unit_;
  std::string_view help_;
  /// Bit set (ScopeBit()) of the dimensions that an exception may name.
  uint8_t scopes_ = 0;
  /// Values that a string field accepts, separated by commas.
  std::string_view choices_ = {};

  RuleValue Get(const ServiceRules& aRules) const;
  /// aValue must come from Parse() or Get() of the same field.
  void Set(ServiceRules& aRules, const RuleValue& aValue) const;
  /// Returns nothing and adds a finding for aObject when the type or the range
  /// is wrong.
  std::optional<RuleValue> Parse(const nlohmann::json& aValue,
                                 const std::string& aObject,
                                 Findings& aFindings) const;
  /// "integer", "number" or "name".
  std::string_view TypeName() const;
};

/// Requires that the value of left_ does not exceed the value of right_; both
/// are names of integer fields.
struct RuleRelation
{
  std::string_view left_;
  std::string_view right_;
  /// Equal values are rejected as well.
  bool strict_ = false;
};

std::span<const RuleField> RuleFields();
std::span<const RuleRelation> RuleRelations();
/// Null when no field has that name.
const RuleField* FindRuleField(std::string_view aName);

std::string ToText(const RuleValue& aValue);
nlohmann::json ToJson(const RuleValue& aValue);

}
