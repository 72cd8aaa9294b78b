#pragma once

#include "gossip_types.h"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <optional>

namespace cactuspitch {

/// Converts slot messages to and from the form in datagrams. FromWire() returns
/// nullopt for numbers out of range. aGateway is the sender of a request or an
/// end, and the receiver of an answer.
class SlotCodec
{
public:
  static wire::SlotRequest ToWire(const SlotRequest& aRequest);
  static wire::SlotAnswer ToWire(const SlotAnswer& aAnswer);
  static wire::SlotEnd ToWire(const SlotEnd& aEnd);
  static wire::SlotSummary ToWire(const SlotSummary& aSummary);
  static std::optional<SlotRequest> FromWire(const wire::SlotRequest& aRequest,
                                             uint32_t aGateway);
  static std::optional<SlotAnswer> FromWire(const wire::SlotAnswer& aAnswer,
                                            uint32_t aGateway);
  static std::optional<SlotEnd> FromWire(const wire::SlotEnd& aEnd,
                                         uint32_t aGateway);
  static std::optional<SlotSummary> FromWire(const wire::SlotSummary& aSummary);
  /// Messages of a kind in one datagram that are read.
  static constexpr size_t kMaxMessages = 64;
  static constexpr int kMaxRank = 15;
};

}
