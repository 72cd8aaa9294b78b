#pragma once

#include <cstdint>

namespace cactuspitch {

/// Revisions of the store are ordered across its restores from older copies,
/// after which it gives out the same numbers again: the era, which rises with
/// each restore, is in the upper bits, the store's own number in the lower
/// ones.
inline constexpr int kEraShift = 40;
inline constexpr int64_t kMaxEra = int64_t{ 1 } << 20;
inline constexpr int64_t kRevisionMask = (int64_t{ 1 } << kEraShift) - 1;

constexpr int64_t MakeRevision(int64_t aEra, int64_t aNumber)
{
  return aNumber <= 0 ? 0 : (aEra << kEraShift) | (aNumber & kRevisionMask);
}

constexpr int64_t RevisionEra(int64_t aRevision)
{
  return aRevision >> kEraShift;
}

constexpr int64_t RevisionNumber(int64_t aRevision)
{
  return aRevision & kRevisionMask;
}

}
