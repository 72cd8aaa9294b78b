#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Registry of named implementations of one strategy interface. A plug-in
/// registers itself with a static StrategyRegistration in its source file.
template<typename Interface, typename... Args>
class StrategyRegistry
{
public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  static StrategyRegistry& Global()
  {
    static StrategyRegistry registry;
    return registry;
  }

  void Register(std::string aName, Factory aFactory)
  {
    factories_[std::move(aName)] = std::move(aFactory);
  }

  /// Creates the strategy aName; null when none is registered by that name.
  std::unique_ptr<Interface> Create(std::string_view aName, Args... aArgs) const
  {
    const auto found = factories_.find(aName);
    return found == factories_.end()
             ? nullptr
             : found->second(std::forward<Args>(aArgs)...);
  }

  std::vector<std::string> Names() const
  {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) {
      names.push_back(name);
    }
    return names;
  }

private:
  std::map<std::string, Factory, std::less<>> factories_;
};

/// Static object that registers a strategy before main() runs.
template<typename Registry>
struct StrategyRegistration
{
  StrategyRegistration(std::string aName, typename Registry::Factory aFactory)
  {
    Registry::Global().Register(std::move(aName), std::move(aFactory));
  }
};

}
