#pragma once

#include "tests/PlatformStore.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// An entry of another writer.
struct OddEntry
{
  std::string name_;
  /// As the store sends it, with $ for the name and @ for the revision. Empty:
  /// an entry whose content is readable, but means nothing.
  std::string text_;
};

/// Names that a URI cannot hold unescaped, or that already look escaped.
std::vector<OddEntry> OddNames();
/// Metadata that lacks parts, has others of another type, or is no UTF-8. The
/// names of up to five in a row cannot be read.
std::vector<OddEntry> OddMetadata();
/// Content that cannot be read, or is very large.
std::vector<OddEntry> OddContent();

/// Writes the entry under its name behind aPrefix, and returns that name.
std::string PutOddEntry(PlatformStore& aStore,
                        const std::string& aKind,
                        const std::string& aPrefix,
                        const OddEntry& aEntry);

}
