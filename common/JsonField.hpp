#pragma once

#include <concepts>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Reads a field of JSON that may come from another version or writer. Returns
/// aDefault when the field is missing or of another type, or when aJson is not
/// an object. Never throws.
template<typename T>
T FieldOr(const nlohmann::json& aJson, const char* aName, T aDefault)
{
  const auto found = aJson.is_object() ? aJson.find(aName) : aJson.end();
  if (found == aJson.end()) {
    return aDefault;
  }
  bool fits = false;
  if constexpr (std::is_same_v<T, std::string>) {
    fits = found->is_string();
  } else {
    static_assert(std::integral<T>);
    fits = found->is_number_integer();
  }
  return fits ? found->template get<T>() : std::move(aDefault);
}

}
