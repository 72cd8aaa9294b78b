#pragma once

#include "common/Findings.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Parses JSON text; duplicate names in one object, nesting deeper than 16 and
/// texts over aMaxBytes are findings of aObject as well.
std::optional<nlohmann::json> ParseJson(std::string_view aText,
                                        size_t aMaxBytes,
                                        const std::string& aObject,
                                        Findings& aFindings);

/// Value as short printable text for a finding.
std::string FormatValue(const nlohmann::json& aValue);

/// Bounds of a text field.
struct TextLimits
{
  size_t maxBytes_ = 64;
  bool required_ = true;
  /// Only letters, digits, '.', '_', ':', '/' and '-'.
  bool isName_ = false;
};

/// Reads the members of one JSON object and collects every wrong one.
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aValue,
             std::string aObject,
             Findings& aFindings);

  /// Null when absent; a finding when required.
  const nlohmann::json* Member(const std::string& aName, bool aRequired);
  std::string Text(const std::string& aName, const TextLimits& aLimits);
  std::optional<int64_t> Integer(const std::string& aName,
                                 int64_t aMin,
                                 int64_t aMax,
                                 bool aRequired);
  /// Null when absent or not of the type.
  const nlohmann::json* Object(const std::string& aName, bool aRequired);
  const nlohmann::json* Array(const std::string& aName,
                              size_t aMaxSize,
                              bool aRequired);
  /// Every member that was not asked for is a finding.
  void RefuseUnknown();
  const std::string& ObjectName() const { return object_; }

private:
  void AddFinding(const std::string& aName,
                  const nlohmann::json& aValue,
                  std::string aRule);

  const nlohmann::json& value_;
  std::string object_;
  Findings& findings_;
  std::set<std::string> requestedMembers_;
};

}
