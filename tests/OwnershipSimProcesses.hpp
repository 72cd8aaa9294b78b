#pragma once

#include "OwnershipSim.hpp"

namespace cactuspitch {

struct OwnershipSim::Process
{
  int index_ = 0;
  std::string id_;
  double rate_ = 1;
  TimeMs offsetMs_ = 0;
  bool alive_ = true;
  int incarnation_ = 1;
  TimeMs pausedUntilMs_ = 0;
  std::vector<Callback> backlog_;
};

/// A backend server. A server that doesn't check the fence accepts every
/// command and executes every request until the request's deadline.
struct OwnershipSim::Server : Process
{
  bool checksFence_ = true;
  bool isListed_ = true;
  bool draining_ = false;
  Term term_ = 0;
  int64_t sequence_ = 0;
  TimeMs validUntilMs_ = 0;
  std::vector<HeldRange> held_;
};

struct OwnershipSim::Instance : Process
{
  std::unique_ptr<GroupController> control_;
  TimeMs polledMs_ = -1000;
  TimeMs pingedMs_ = -1000;
  TimeMs listsUpdatedMs_ = -10000;
  /// How long the instance's watch request stays open after the store goes
  /// silent.
  TimeMs watchLeftMs_ = 0;
};

struct OwnershipSim::Router : Process
{
  GroupTable table_;
  TimeMs leaseUntilMs_ = 0;
  TimeMs polledMs_ = -1000;
  /// By key and server index: epoch and latest deadline, on the server's clock,
  /// of the requests that the router may have sent.
  std::map<std::pair<KeyHash, int>, std::pair<Epoch, TimeMs>> sent_;
};

}
