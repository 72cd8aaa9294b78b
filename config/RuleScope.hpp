#pragma once

#include "common/EnumNames.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace cactuspitch {

/// Dimensions by which an exception can be limited, from the least to the most
/// specific.
enum class ScopeDimension : uint8_t
{
  Service,
  FailureDomain,
  Server,
  Key,
  Count
};

template<>
struct EnumNames<ScopeDimension>
{
  static constexpr std::string_view kNames[] = {
    "service",
    "failureDomain",
    "server",
    "key",
  };
};

inline constexpr size_t kScopeDimensions =
  static_cast<size_t>(ScopeDimension::Count);

/// Scope of an exception, or the target for which rules are resolved. An empty
/// name means any value in a scope and an unknown value in a target.
struct RuleScope
{
  std::string service_{};
  std::string failureDomain_{};
  std::string server_{};
  std::string key_{};

  bool operator==(const RuleScope&) const = default;

  const std::string& Name(ScopeDimension aDimension) const;
  std::string& Name(ScopeDimension aDimension);
  /// Bit set of the named dimensions. A larger value is more specific: key
  /// before backend server before failure domain before service.
  uint8_t Mask() const;
  /// True when every named dimension has the same name in aTarget.
  bool Contains(const RuleScope& aTarget) const;
  /// True when some target lies in both scopes.
  bool Overlaps(const RuleScope& aOther) const;
  /// Intersection of both scopes, with the names of both; they must overlap.
  RuleScope Merge(const RuleScope& aOther) const;
  /// Such as "service=a server=b"; "all" when no dimension is named.
  std::string ToText() const;
};

constexpr uint8_t ScopeBit(ScopeDimension aDimension)
{
  return static_cast<uint8_t>(1U << static_cast<unsigned>(aDimension));
}

inline constexpr std::array<ScopeDimension, kScopeDimensions> kAllDimensions = {
  ScopeDimension::Service,
  ScopeDimension::FailureDomain,
  ScopeDimension::Server,
  ScopeDimension::Key,
};

}
