#pragma once

#include <string>
#include <vector>

#include <absl/status/status.h>

namespace cactuspitch {

/// One violated validation rule, with the object, field and value that violate
/// it.
struct Finding
{
  std::string object_;
  std::string field_;
  std::string value_;
  std::string rule_;
};

/// Collects all findings of a validation, so that they are reported together.
class Findings
{
public:
  void Add(std::string aObject,
           std::string aField,
           std::string aValue,
           std::string aRule);
  void Append(const Findings& aOther);

  bool IsEmpty() const { return findings_.empty(); }
  const std::vector<Finding>& All() const { return findings_; }

  /// Formats each finding as one line.
  std::string ToText() const;
  /// Ok when there are no findings, otherwise InvalidArgument with ToText().
  absl::Status ToStatus() const;

private:
  std::vector<Finding> findings_;
};

}
