#include "HistoryLines.hpp"

#include <fstream>

namespace cactuspitch {

void VisitHistory(const std::string& aFile,
                  const std::function<void(const nlohmann::json&)>& aVisit)
{
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    const auto document = nlohmann::json::parse(line, nullptr, false);
    if (document.is_object()) {
      aVisit(document);
    }
  }
}

}
