#include "Findings.hpp"

#include "Strings.hpp"

#include <numeric>
#include <utility>

namespace cactuspitch {

void Findings::Add(std::string aObject,
                   std::string aField,
                   std::string aValue,
                   std::string aRule)
{
  findings_.push_back({ std::move(aObject),
                        std::move(aField),
                        std::move(aValue),
                        std::move(aRule) });
}

void Findings::Append(const Findings& aOther)
{
  findings_.insert(
    findings_.end(), aOther.findings_.begin(), aOther.findings_.end());
}

std::string Findings::ToText() const
{
  return std::accumulate(findings_.begin(),
                         findings_.end(),
                         std::string(),
                         [](std::string aText, const Finding& aFinding) {
                           AppendTo(aText,
                                    aFinding.object_,
                                    ": ",
                                    aFinding.field_,
                                    " = '",
                                    aFinding.value_,
                                    "': ",
                                    aFinding.rule_,
                                    "\n");
                           return aText;
                         });
}

absl::Status Findings::ToStatus() const
{
  return IsEmpty() ? absl::OkStatus() : absl::InvalidArgumentError(ToText());
}

}
