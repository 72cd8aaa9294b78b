#include "InstanceDirectory.hpp"

#include "common/KeyHash.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kReadIntervalMs = 3000;

EntryInstance ParseInstance(const StoredObject& aObject)
{
  const auto parsed = nlohmann::json::parse(aObject.value_, nullptr, false);
  const auto text = [&](const char* aName) {
    const auto found = parsed.find(aName);
    return found != parsed.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
  };
  if (!parsed.is_object()) {
    return {};
  }
  return { aObject.name_,    text("failureDomain"), text("state"),
           text("assigner"), text("router"),        text("admin") };
}

}

InstanceDirectory::InstanceDirectory(ObjectStore& aStore, const Clock& aClock)
  : store_(aStore)
  , clock_(aClock)
{
}

std::vector<EntryInstance> InstanceDirectory::Instances()
{
  const std::lock_guard lock(mutex_);
  if (clock_.NowMs() < nextReadMs_) {
    return instances_;
  }
  nextReadMs_ = clock_.NowMs() + detail::kReadIntervalMs;
  const auto objects = store_.List("instance");
  if (!objects.ok()) {
    return instances_;
  }
  instances_.clear();
  for (const auto& object : *objects) {
    auto instance = detail::ParseInstance(object);
    if (!instance.id_.empty() && instance.state_ != "leaving") {
      instances_.push_back(std::move(instance));
    }
  }
  std::ranges::sort(instances_, {}, &EntryInstance::id_);
  return instances_;
}

int InstanceDirectory::Rank(const std::string& aItem,
                            const std::string& aInstance)
{
  const auto instances = Instances();
  if (std::ranges::find(instances, aInstance, &EntryInstance::id_) ==
      instances.end()) {
    return -1;
  }
  const auto own = RendezvousScore(aItem, aInstance);
  return static_cast<int>(
    std::ranges::count_if(instances, [&](const EntryInstance& aOther) {
      return !aOther.admin_.empty() && RendezvousScore(aItem, aOther.id_) > own;
    }));
}

}
