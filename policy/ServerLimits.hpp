#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactuspitch {

/// Request limit of a backend server, as its answers showed it.
struct LimitNotice
{
  uint32_t server_ = 0;  ///< hash of the server's incarnation
  double perSecond_ = 0; ///< the limit, or the last one if it has ended
  bool ended_ = false;   ///< the server no longer names a limit
  TimeMs shownMs_ = 0;   ///< when the answer that shows this was received
};

/// Effect of an answer or a notice on what is known of a server.
enum class LimitChange : uint8_t
{
  None,
  Started,
  Changed,
  Ended,
  Count
};

template<>
struct EnumNames<LimitChange>
{
  static constexpr std::string_view kNames[] = { "none",
                                                 "limited",
                                                 "limit-changed",
                                                 "limit-ended" };
};

/// Request limits that backend servers name in their answers, merged from the
/// answers that this gateway received and the notices of others. Only an answer
/// to a request that was sent after the last naming raises or ends a limit, so
/// that late answers and notices can't. Does no I/O.
class ServerLimits
{
public:
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  /// After its end, a limit doubles in this time until kRecoveryMs have passed.
  static constexpr TimeMs kDoublingMs = 500;
  static constexpr TimeMs kRecoveryMs = 3000;
  /// Keys are moved off a server once it has been limited for this long.
  static constexpr TimeMs kSettledMs = 2000;
  /// A limit ends when no answer has shown it for this long, plus the time of
  /// kForgetRequests requests at its rate.
  static constexpr TimeMs kForgetMs = 60000;
  static constexpr double kForgetRequests = 10;

  /// The server answered a request that was sent at aSentMs. aNamed: the limit
  /// in the answer, if any.
  LimitChange OnAnswer(uint32_t aServer,
                       std::optional<double> aNamed,
                       TimeMs aSentMs,
                       TimeMs aNowMs);
  LimitChange Merge(const LimitNotice& aNotice, TimeMs aNowMs);

  /// Requests per second that the server may get from all gateways together.
  double Rate(uint32_t aServer, TimeMs aNowMs) const;
  /// The same, but unlimited until the limit has held for kSettledMs.
  double SettledRate(uint32_t aServer, TimeMs aNowMs) const;
  /// Up to aMaxCount notices: recent changes first, the others in turn.
  std::vector<LimitNotice> TakeNotices(size_t aMaxCount, TimeMs aNowMs);
  std::optional<LimitNotice> Find(uint32_t aServer) const;
  /// Drops what is no longer needed.
  void Expire(TimeMs aNowMs);
  bool IsEmpty() const { return limits_.empty(); }

private:
  struct State
  {
    LimitNotice notice_;
    TimeMs startedMs_ = 0; ///< when the server first named a limit
    TimeMs changedMs_ = 0;
    uint64_t sentInRound_ = 0; ///< last round of TakeNotices() with this one
  };

  static LimitChange Assign(State& aState,
                            const LimitNotice& aNotice,
                            TimeMs aNowMs);

  std::unordered_map<uint32_t, State> limits_;
  uint64_t round_ = 0;
};

}
