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

/// One field of ServiceRules: the table of these drives parsing, validation,
/// help and resolution.
struct RuleField
{
  std::string_view name_;
  RuleMember member_;
  double min_ = 0;
  double max_ = 0;
  std::string_view unit_;
  std::string_view help_;
  /// Dimensions that an exception for this field may name.
  uint8_t scopes_ = 0;
  /// Names that a text field accepts, comma separated.
  std::string_view choices_ = {};

  RuleValue Get(const ServiceRules& aRules) const;
  /// aValue must come from Parse() or Get() of the same field.
  void Set(ServiceRules& aRules, const RuleValue& aValue) const;
  /// Adds a finding for aObject and returns nothing when type or range are
  /// wrong.
  std::optional<RuleValue> Parse(const nlohmann::json& aValue,
                                 const std::string& aObject,
                                 Findings& aFindings) const;
  std::string_view TypeName() const;
};

/// "left may not exceed right"; both are Integer fields.
struct RuleRelation
{
  std::string_view left_;
  std::string_view right_;
  /// Equal values are refused as well.
  bool strict_ = false;
};

std::span<const RuleField> RuleFields();
std::span<const RuleRelation> RuleRelations();
/// Null when no field has that name.
const RuleField* FindRuleField(std::string_view aName);

std::string ToText(const RuleValue& aValue);
nlohmann::json ToJson(const RuleValue& aValue);

}
