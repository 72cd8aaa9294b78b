#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <functional>
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
    /// Broker of the service in the domain, or its deputy without aExcept, as
    /// far as known. May be this gateway.
    std::function<std::optional<uint32_t>(uint32_t aService,
                                          uint32_t aDomain,
                                          std::optional<uint32_t> aExcept)>
      broker_;
    std::function<void(uint32_t aBroker, const SlotRequest& aRequest)> ask_;
    std::function<void(uint32_t aBroker, const SlotEnd& aEnd)> end_;
    /// A decision is available for a request that was pending.
    std::function<void()> onDecided_;
    /// The broker left the request without an answer.
    std::function<void(uint32_t aBroker, const SlotRequest& aRequest)>
      onSilent_;
  };
  /// An unanswered request is sent again after this time, then after twice as
  /// long. After kSilentMs and kMinRepeats without a sign of the broker, its
  /// deputy is asked. Datagrams wait behind the responses of some large
  /// downloads on a narrow link, and a gateway that stalled finds the answers
  /// of the broker after its first repeat.
  static constexpr TimeMs kResendMs = 20;
  static constexpr TimeMs kSilentMs = 200;
  static constexpr int kMinRepeats = 3;
  /// A broker that did not answer is not asked again for this long.
  static constexpr TimeMs kAvoidMs = 500;
  /// A request that waits is sent again after this time, because the assignment
  /// may be lost.
  static constexpr TimeMs kQueuedResendMs = 100;
  /// Slots are forgotten after this time; their brokers have dropped them.
  static constexpr TimeMs kForgetMs = 30000;

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
  bool HasPending() const { return !pending_.empty(); }
  size_t SlotsInUse() const { return slots_.size(); }

private:
  struct Pending
  {
    uint64_t requester_ = 0;
    uint32_t broker_ = 0;
    uint32_t homeDomain_ = 0; ///< domain that was asked first
    SlotRequest request_;
    TimeMs validMs_ = 0; ///< when the times left in request_ were valid
    TimeMs resendMs_ = 0;
    /// When the first message since the last answer was sent.
    std::optional<TimeMs> unansweredMs_;
    int repeats_ = 0; ///< since then
  };
  struct Slot
  {
    uint32_t broker_ = 0;
    uint32_t service_ = 0;
    uint32_t server_ = 0;
    TimeMs assignedMs_ = 0;
  };
  struct Decided
  {
    SlotDecision decision_;
    TimeMs atMs_ = 0;
  };
  /// Asks the broker of request_.domain_, under a new number. Returns false if
  /// there is none that answers.
  bool Send(Pending aPending, TimeMs aNowMs);
  void Resend(Pending& aPending, TimeMs aNowMs);
  /// Asks the first domain again after another one had no room or was silent.
  void SendBack(Pending aPending, uint32_t aRefusedBy, TimeMs aNowMs);
  void OnElsewhere(Pending aPending, uint32_t aDomain, TimeMs aNowMs);
  void OnUnknown(uint32_t aBroker, const SlotAnswer& aAnswer);
  bool IsSilent(const Pending& aPending, TimeMs aNowMs) const;
  void OnSilent(int64_t aNumber, TimeMs aNowMs);
  /// The broker to ask, or its deputy while it does not answer.
  std::optional<uint32_t> FindBroker(uint32_t aService,
                                     uint32_t aDomain,
                                     TimeMs aNowMs);
  /// Withdraws a request, or returns the slot of aServer unused.
  void End(uint32_t aBroker,
           int64_t aNumber,
           uint32_t aService,
           uint32_t aServer = 0);
  Pending TakePending(int64_t aNumber);
  void Decide(uint64_t aRequester, SlotDecision aDecision, TimeMs aNowMs);
  /// After kAvoidMs, one request finds out whether the broker answers again.
  bool MayAsk(uint32_t aBroker, TimeMs aNowMs);
  void ForgetOld(TimeMs aNowMs);

  Handlers handlers_;
  uint32_t gateway_;
  uint32_t domain_;
  int64_t lastNumber_;
  std::unordered_map<uint32_t, TimeMs> heardMs_; ///< last answers of brokers
  std::unordered_map<int64_t, Pending> pending_;
  std::unordered_map<uint64_t, int64_t> numbers_; ///< of pending requests
  std::unordered_map<uint64_t, Decided> decided_; ///< not yet returned
  std::unordered_map<int64_t, Slot> slots_;
  std::unordered_map<uint32_t, TimeMs> avoidedUntilMs_;
  std::optional<uint64_t> asking_; ///< requester of the current Ask()
  TimeMs forgotMs_ = 0;
};

}
