#pragma once

#include "common/CancelSignal.hpp"
#include "common/EnumNames.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <thread>

#include <absl/status/status.h>

namespace cactuspitch {

/// State of a link between two processes.
enum class LinkMode : uint8_t
{
  Pass,
  DropUp,   ///< nothing from the client reaches the server
  DropDown, ///< nothing from the server reaches the client
  DropBoth,
  Refuse, ///< connections are reset and new ones refused
  Count
};

template<>
struct EnumNames<LinkMode>
{
  static constexpr std::string_view kNames[] = {
    "pass", "drop-up", "drop-down", "drop-both", "refuse",
  };
};

/// Forwards TCP connections and shows the faults of a network. Bytes that meet
/// a cut stay in the senders' buffers and flow on when it ends, as TCP's own
/// repeats would have it.
class LinkCut
{
public:
  LinkCut(std::string aListen, std::string aTarget);
  ~LinkCut();
  LinkCut(const LinkCut&) = delete;
  LinkCut& operator=(const LinkCut&) = delete;

  absl::Status Start();
  void Stop();
  void SetMode(LinkMode aMode);
  /// Connections that are open now stay open and silent for ever; new ones
  /// work.
  void SilenceOpen();
  LinkMode Mode() const { return mode_; }

private:
  struct Link;

  void Run();
  void ApplyCommands();
  void Accept();
  /// Moves bytes in one direction; false when the link is to be closed.
  bool Move(Link& aLink, bool aUp) const;
  bool IsCut(const Link& aLink, bool aUp) const;

  const std::string listen_;
  const std::string target_;
  CancelSignal wake_;
  std::atomic<LinkMode> mode_ = LinkMode::Pass;
  std::atomic<bool> silenceOpen_ = false;
  std::atomic<bool> stopping_ = false;
  int listener_ = -1;
  std::list<Link> links_;
  std::thread thread_;
};

}
