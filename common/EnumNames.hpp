#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <string_view>

namespace cactuspitch {

/// Names of the values of an enumeration. Specialise it with `kNames`, one
/// entry for each enumerator in order. The enumeration must end with `Count`.
template<typename E>
struct EnumNames;

template<typename E>
constexpr std::string_view EnumName(E aValue)
{
  constexpr auto& kNames = EnumNames<E>::kNames;
  static_assert(std::size(kNames) == static_cast<size_t>(E::Count),
                "name table does not match the enumeration");
  const auto index = static_cast<size_t>(aValue);
  return index < std::size(kNames) ? kNames[index] : "invalid";
}

template<typename E>
constexpr std::optional<E> ParseEnum(std::string_view aName)
{
  constexpr auto& kNames = EnumNames<E>::kNames;
  const auto* found = std::find(std::begin(kNames), std::end(kNames), aName);
  if (found == std::end(kNames)) {
    return std::nullopt;
  }
  return static_cast<E>(found - std::begin(kNames));
}

}
