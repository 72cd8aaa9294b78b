#pragma once

#include "common/Findings.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Parses JSON text. Returns nothing and adds a finding for aObject when the
/// text is not valid JSON, repeats a name in one object, is nested deeper than
/// 16 levels or is longer than aMaxBytes.
std::optional<nlohmann::json> ParseJson(std::string_view aText,
                                        size_t aMaxBytes,
                                        const std::string& aObject,
                                        Findings& aFindings);

/// Formats a value as short printable text for a finding.
std::string FormatValue(const nlohmann::json& aValue);

/// Limits of a string member.
struct TextLimits
{
  size_t maxBytes_ = 64;
  bool required_ = true;
  /// Only letters, digits, '.', '_', ':', '/' and '-'.
  bool isName_ = false;
};

/// Reads the members of one JSON object and adds a finding for every invalid
/// one.
class JsonReader
{
public:
  /// aObject names the object in findings. aValue and aFindings must outlive
  /// the reader.
  JsonReader(const nlohmann::json& aValue,
             std::string aObject,
             Findings& aFindings);

  /// Null when absent, with a finding if aRequired.
  const nlohmann::json* Member(const std::string& aName, bool aRequired);
  /// Empty when absent or outside of the limits.
  std::string Text(const std::string& aName, const TextLimits& aLimits);
  /// Nothing when absent or not an integer from aMin to aMax.
  std::optional<int64_t> Integer(const std::string& aName,
                                 int64_t aMin,
                                 int64_t aMax,
                                 bool aRequired);
  /// Null when absent or not an object.
  const nlohmann::json* Object(const std::string& aName, bool aRequired);
  /// Null when absent, not an array or longer than aMaxSize.
  const nlohmann::json* Array(const std::string& aName,
                              size_t aMaxSize,
                              bool aRequired);
  /// Adds a finding for every member that was not read before.
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
