#include "RuleScope.hpp"

#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

using ScopeMember = std::string RuleScope::*;

constexpr ScopeMember kScopeMembers[kScopeDimensions] = {
  &RuleScope::service_,
  &RuleScope::failureDomain_,
  &RuleScope::server_,
  &RuleScope::key_,
};

}

const std::string& RuleScope::Name(ScopeDimension aDimension) const
{
  return this->*detail::kScopeMembers[static_cast<size_t>(aDimension)];
}

std::string& RuleScope::Name(ScopeDimension aDimension)
{
  return this->*detail::kScopeMembers[static_cast<size_t>(aDimension)];
}

uint8_t RuleScope::Mask() const
{
  uint8_t mask = 0;
  for (const auto dimension : kAllDimensions) {
    if (!Name(dimension).empty()) {
      mask |= ScopeBit(dimension);
    }
  }
  return mask;
}

bool RuleScope::Contains(const RuleScope& aTarget) const
{
  return std::ranges::all_of(kAllDimensions, [&](ScopeDimension aDimension) {
    return Name(aDimension).empty() ||
           Name(aDimension) == aTarget.Name(aDimension);
  });
}

bool RuleScope::Overlaps(const RuleScope& aOther) const
{
  return std::ranges::all_of(kAllDimensions, [&](ScopeDimension aDimension) {
    return Name(aDimension).empty() || aOther.Name(aDimension).empty() ||
           Name(aDimension) == aOther.Name(aDimension);
  });
}

RuleScope RuleScope::Merge(const RuleScope& aOther) const
{
  auto merged = *this;
  for (const auto dimension : kAllDimensions) {
    if (merged.Name(dimension).empty()) {
      merged.Name(dimension) = aOther.Name(dimension);
    }
  }
  return merged;
}

std::string RuleScope::ToText() const
{
  std::string text;
  for (const auto dimension : kAllDimensions) {
    if (!Name(dimension).empty()) {
      AppendTo(text,
               text.empty() ? "" : " ",
               EnumName(dimension),
               "=",
               Name(dimension));
    }
  }
  return text.empty() ? "all" : text;
}

}
