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
  int life_ = 1;
  TimeMs pausedUntilMs_ = 0;
  std::vector<Task> backlog_;
};

/// Backend server. One that does not check the fence accepts every order and
/// runs every request up to its deadline.
struct OwnershipSim::Server : Process
{
  bool checks_ = true;
  bool isListed_ = true;
  bool drains_ = false;
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
  TimeMs shownMs_ = -10000;
  /// How long its watch stays open when the store falls silent.
  TimeMs watchLeftMs_ = 0;
};

struct OwnershipSim::Router : Process
{
  GroupTable table_;
  TimeMs leaseUntilMs_ = 0;
  TimeMs polledMs_ = -1000;
  /// Epoch and latest deadline, in the server's clock, of the requests that
  /// the router could have sent for a key to a server.
  std::map<std::pair<KeyHash, int>, std::pair<Epoch, TimeMs>> sent_;
};

}
