#pragma once

namespace cactuspitch::detail {

/// References every policy plug-in of this folder. The linker drops objects of
/// a static library that nothing references, and with them their registrations.
bool LinkBuiltInPolicies();

/// Makes every source that includes a policy interface link the plug-ins.
inline const bool kBuiltInPoliciesLinked = LinkBuiltInPolicies();

}
