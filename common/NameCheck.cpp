#include "common/NameCheck.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

namespace cactuspitch {

bool IsPlainText(std::string_view aText)
{
  return IsUtf8(aText) && !HasControlCharacter(aText);
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes && IsPlainText(aText);
}

}
