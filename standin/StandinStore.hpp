#pragma once

#include "StoreFaultInjector.hpp"
#include "VersionedObjects.hpp"
#include "common/HttpServer.hpp"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace cactuspitch {

/// Kinds of store calls that the platform counts separately.
enum class StoreCall : uint8_t
{
  Get,
  List,
  Put,
  Delete,
  Watch,
  Count
};

template<>
struct EnumNames<StoreCall>
{
  static constexpr std::string_view kNames[] = { "get",
                                                 "list",
                                                 "put",
                                                 "delete",
                                                 "watch" };
};

/// Stand-in for the platform's object store (docs/design.md, section 7.3).
/// In addition to the protocol it serves, without counting or faults:
/// - PUT, DELETE /_platform/{kind}/{name}: writes without a precondition, for
///   the objects that the platform maintains itself.
/// - GET /_stats: number of calls, by kind of call and kind of object.
/// - GET, POST /_fault: reads or sets the injected faults, as JSON.
class StandinStore
{
public:
  StandinStore(const Clock& aClock, std::string aListen);

  absl::Status Start();
  void Stop();

private:
  void Handle(HttpExchange& aExchange);
  void HandleCall(HttpExchange& aExchange,
                  StoreCall aCall,
                  const std::string& aKind,
                  const std::string& aName);
  /// Applies the fault to the call. Returns true when the call is finished and
  /// needs no further response.
  bool InjectFault(HttpExchange& aExchange, const StoreFault& aFault);
  void Read(HttpExchange& aExchange,
            const std::string& aKind,
            const std::string& aName);
  void List(HttpExchange& aExchange, const std::string& aKind);
  void Watch(HttpExchange& aExchange, const std::string& aKind);
  void Write(HttpExchange& aExchange,
             const std::string& aKind,
             const std::string& aName,
             const ExpectedVersion& aExpected,
             bool aDropsResponse);
  void HandleFaultSettings(HttpExchange& aExchange);
  void CountCall(StoreCall aCall, const std::string& aKind);
  std::string Stats() const;

  VersionedObjects objects_;
  StoreFaultInjector faults_;
  HttpServer server_;
  std::array<std::atomic<int64_t>, static_cast<size_t>(StoreCall::Count)>
    calls_{};
  mutable std::mutex mutex_;
  std::map<std::string, int64_t> callsByKind_;
  std::atomic<int64_t> droppedResponses_ = 0;
  std::atomic<bool> stopping_ = false;
};

}
