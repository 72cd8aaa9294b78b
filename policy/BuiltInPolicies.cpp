#include "policy/BuiltInPolicies.hpp"

namespace cactuspitch::detail {

// Defined beside the registration of each plug-in.
bool LinkStaticAdmission();

bool LinkBuiltInPolicies()
{
  return LinkStaticAdmission();
}

}
