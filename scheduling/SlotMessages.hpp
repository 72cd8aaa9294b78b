#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Load that a backend server reports, in requests. slowness_ is the current
/// time of a piece of work relative to the usual one on that server.
struct SlotLoad
{
  int running_ = 0;
  int waiting_ = 0;
  double slowness_ = 1;
};

/// Request of a gateway for a slot of a backend server. Services, routes,
/// servers, gateways and failure domains are named by ShortHash().
struct SlotRequest
{
  uint32_t gateway_ = 0;
  int64_t number_ = 0; ///< distinguishes the slot requests of the gateway
  uint32_t service_ = 0;
  uint32_t domain_ = 0; ///< of the servers that may run it
  uint32_t route_ = 0;  ///< routes differ in the work of their requests
  uint32_t server_ = 0; ///< the only server that can run it; 0: any
  int rank_ = 0;        ///< 0 is the most urgent
  TimeMs objectiveMs_ = 0;
  /// Time until the latency objective is missed; negative afterwards.
  TimeMs objectiveLeftMs_ = 0;
  TimeMs remainingMs_ = 0; ///< until the deadline
  uint32_t bytes_ = 0;     ///< body and expected response
  /// The gateway is in another failure domain than the broker.
  bool crossing_ = false;
  /// Must be decided here: another domain had no room for it.
  bool returned_ = false;
  uint32_t refusedBy_ = 0;          ///< with returned_: the other domain
  std::vector<uint32_t> avoided_;   ///< servers that failed the request
  std::vector<uint32_t> connected_; ///< servers with an idle connection
};

enum class SlotVerdict : uint8_t
{
  Queued,    ///< another answer follows
  Assigned,  ///< the request may be sent to server_
  Refused,   ///< come back after retryAfterMs_
  Elsewhere, ///< ask the broker of domain_
  Count
};

template<>
struct EnumNames<SlotVerdict>
{
  static constexpr std::string_view kNames[] = { "queued",
                                                 "assigned",
                                                 "refused",
                                                 "elsewhere" };
};

/// Why a broker refused a slot.
enum class SlotCause : uint8_t
{
  None,
  NoServer,   ///< no server of the domain takes requests
  Full,       ///< the objective would be missed in the queue
  OwnerFull,  ///< the same for the only server that can run it
  ColdServer, ///< the only server is cold and had its requests
  Count
};

template<>
struct EnumNames<SlotCause>
{
  static constexpr std::string_view kNames[] = { "none",
                                                 "no-backend",
                                                 "overload",
                                                 "owner-overload",
                                                 "owner-cold" };
};

struct SlotAnswer
{
  uint32_t gateway_ = 0; ///< receiver
  int64_t number_ = 0;
  SlotVerdict verdict_ = SlotVerdict::Queued;
  SlotCause cause_ = SlotCause::None;
  uint32_t server_ = 0;
  uint32_t domain_ = 0;
  TimeMs retryAfterMs_ = 0;
};

/// How the use of an assigned slot ended.
enum class SlotOutcome : uint8_t
{
  Served,
  Rejected,    ///< the server had no room
  Failed,      ///< error, or outcome unknown
  Unreachable, ///< no connection to the server
  Unused,      ///< the request was not sent, or the slot no longer wanted
  Count
};

template<>
struct EnumNames<SlotOutcome>
{
  static constexpr std::string_view kNames[] = { "served",
                                                 "rejected",
                                                 "failed",
                                                 "unreachable",
                                                 "unused" };
};

/// Ends a slot request: gives the slot back, or withdraws a request that waits
/// (server_ 0).
struct SlotEnd
{
  uint32_t gateway_ = 0;
  int64_t number_ = 0;
  uint32_t service_ = 0; ///< 0: unknown, after a late answer
  uint32_t server_ = 0;
  SlotOutcome outcome_ = SlotOutcome::Unused;
  TimeMs latencyMs_ = 0; ///< with Served: to the head of the response
  std::optional<SlotLoad> load_;
};

/// Room of a service in one failure domain, reported among its brokers.
struct SlotSummary
{
  uint32_t service_ = 0;
  uint32_t domain_ = 0;
  double freeSlots_ = 0; ///< weighted by the speed of the servers
  /// Slots that are taken or waited for, relative to all; above 1: too few.
  double utilization_ = 0;
  TimeMs waitMs_ = 0; ///< of the next request of the lowest rank
};

}
