#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

/// Failure domains whose backend servers are to get no requests, as of a
/// revision of the store. Of two states the one with the higher revision holds
/// (gateway/StoreRevision.hpp), so the state of a restored store replaces all
/// earlier ones. Does no I/O.
class EvacuationSet
{
public:
  using Domains = std::set<std::string>;

  /// Applies a complete list. Returns false if the known state is newer.
  bool Replace(Domains aDomains, int64_t aRevision);
  /// Applies all changes since the revision of an earlier list or change, up to
  /// aRevision. Returns false if the known state is as new.
  bool Apply(const Domains& aBegan, const Domains& aEnded, int64_t aRevision);
  /// Applies what is known of a state that cannot be read as a whole. The
  /// revision stays, so other gateways do not take it for theirs. Returns false
  /// if nothing changes.
  bool ApplyPart(const Domains& aBegan, const Domains& aEnded);
  /// Applies the state of another gateway, which may leave out domains without
  /// servers.
  bool Merge(const Domains& aDomains, int64_t aRevision);
  /// Nothing has changed up to this revision. Ignored before the first state.
  void AdvanceTo(int64_t aRevision);

  bool Contains(const std::string& aDomain) const
  {
    return domains_.contains(aDomain);
  }
  const Domains& All() const { return domains_; }
  /// 0: no state is known.
  int64_t Revision() const { return revision_; }
  /// At most aMaxCount domains for a datagram, first those with servers.
  std::vector<std::string> Select(
    size_t aMaxCount,
    const std::function<bool(const std::string&)>& aHasServers) const;

private:
  Domains domains_;
  int64_t revision_ = 0;
};

}
