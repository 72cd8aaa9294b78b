#pragma once

#include <string>
#include <vector>

namespace cactuspitch {

/// One request that the administration API must refuse.
struct MalformedRequest
{
  std::string name_;
  std::string method_;
  std::string target_;
  std::string body_;
  /// Text that the object or field of some finding must contain.
  std::string place_;
};

/// All kinds, generated from the table of rule fields and the routes. They
/// assume that the exception "known" exists.
std::vector<MalformedRequest> MakeMalformedRequests();

}
