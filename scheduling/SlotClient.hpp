#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cactuspitch {

enum class SlotState : uint8_t
{
  Unasked,     ///< no broker was asked for the request
  Unscheduled, ///< no broker can be reached: decide without one
  Pending,     ///< the broker was asked
  Assigned,
  Refused,
  Count
};

template<>
struct EnumNames<SlotState>
{
  static constexpr std::string_view kNames[] = { "unasked",
                                                 "unscheduled",
                                                 "pending",
                                                 "assigned",
                                                 "refused" };
};

struct SlotDecision
{
  SlotState state_ = SlotState::Unasked;
  uint32_t server_ = 0; ///< with Assigned
  SlotCause cause_ = SlotCause::None;
  TimeMs retryAfterMs_ = 0; ///< with Refused
  int64_t number_ = 0;      ///< with Assigned: names the slot
};

/// The slot requests of one gateway: asks brokers, repeats lost messages, and
/// gives up on brokers that don't answer. Does no I/O.
class SlotClient
{
public:
  struct Handlers
  {
    /// Broker of the service in the domain, if one is known. May be this
    /// gateway.
    std::function<std::optional<uint32_t>(uint32_t aService, uint32_t aDomain)>
      broker_;
    std::function<void(uint32_t aBroker, const SlotRequest& aRequest)> ask_;
    std::function<void(uint32_t aBroker, const SlotEnd& aEnd)> end_;
    /// A decision is available for a request that was pending.
    std::function<void()> onDecided_;
  };
  /// An unanswered request is sent again after this time, and decided without
  /// the broker after kSilentMs.
  static constexpr TimeMs kResendMs = 15;
  static constexpr TimeMs kSilentMs = 45;
  /// A broker that did not answer is not asked again for this long.
  static constexpr TimeMs kAvoidMs = 500;

  SlotClient(Handlers aHandlers, uint32_t aGateway, uint32_t aDomain);

  /// Asks the broker of aDomain for a slot for a caller's request (aRequester,
  /// unique in the process). aRequest needs no gateway and no number. The
  /// answer may come at once, if this gateway is the broker.
  SlotDecision Ask(uint64_t aRequester,
                   SlotRequest aRequest,
                   uint32_t aDomain,
                   TimeMs aNowMs);
  /// Decision for a request; each one but Pending is returned once, and the
  /// request is Unasked again.
  SlotDecision Check(uint64_t aRequester, TimeMs aNowMs);
  /// The request ended or is sent without a slot: withdraws it.
  void Withdraw(uint64_t aRequester);
  /// Gives back the slot that SlotDecision::number_ names.
  void Return(int64_t aNumber,
              SlotOutcome aOutcome,
              TimeMs aLatencyMs,
              const std::optional<SlotLoad>& aLoad);
  void OnAnswer(uint32_t aBroker, const SlotAnswer& aAnswer, TimeMs aNowMs);
  /// To be called every few ms while requests are pending.
  void Poll(TimeMs aNowMs);
  bool HasPending() const;
  size_t SlotsInUse() const;
};

}
