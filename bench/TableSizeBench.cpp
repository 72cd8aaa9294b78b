#include "Measurement.hpp"
#include "common/Strings.hpp"
#include "rpc/TableCodec.hpp"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr const char* kName = "table-size";
constexpr int kSlices = 256;

GroupTable MakeTable(int aGroup, int aServers)
{
  GroupTable table;
  table.service_ = Concat("service-", aGroup);
  table.group_ = aGroup;
  table.term_ = 7;
  table.sequence_ = 100000;
  table.assigner_ = "10.20.0.11:7300";
  table.deputy_ = "10.20.1.12:7300";
  for (int i = 0; i < aServers; ++i) {
    BackendServerRecord server;
    server.id_ = Concat("backend-", aGroup, "-", i);
    server.address_ = Concat("10.20.", i, ".11:8080");
    server.failureDomain_ = "cairo-a";
    server.incarnation_ = "0123456789abcdef";
    table.servers_.push_back(std::move(server));
  }
  constexpr KeyHash kWidth = UINT64_MAX / kSlices;
  for (int i = 0; i < kSlices; ++i) {
    table.slices_.push_back({ static_cast<KeyHash>(i) * kWidth,
                              1000 + i,
                              i % aServers,
                              (i + 1) % aServers });
  }
  return table;
}

double EncodedBytes(const wire::GroupTable& aTable)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  aTable.write(&protocol);
  return buffer->available_read();
}

double ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Encoded bytes of one move in a group of so many servers.
double MoveBytes(int aServers)
{
  const auto before = MakeTable(1, aServers);
  auto after = before;
  ++after.sequence_;
  ++after.slices_[3].epoch_;
  after.slices_[3].owner_ = after.slices_[3].standby_;
  return EncodedBytes(ToWireDelta(before, after));
}

// Memory and messages of the table, as docs/CAPACITY.md uses them.
int Run()
{
  constexpr int kGroups = 1024;
  constexpr int kServers = 64;
  constexpr double kMb = 1024 * 1024;
  constexpr double kTargetMb = 32;
  const double small = EncodedBytes(ToWire(MakeTable(1, 16)));
  const double full = EncodedBytes(ToWire(MakeTable(1, kServers)));
  std::printf("full table: %.0f bytes, of which %.1f for each server\n",
              full,
              (full - small) / (kServers - 16));
  std::printf("one move: %.0f bytes with 64 servers, %.0f with 16\n",
              MoveBytes(kServers),
              MoveBytes(16));
  const double before = ResidentBytes();
  std::vector<GroupTable> tables;
  tables.reserve(kGroups);
  for (int i = 0; i < kGroups; ++i) {
    tables.push_back(MakeTable(i, kServers));
  }
  const double perGroup = (ResidentBytes() - before) / kGroups;
  std::printf("memory of a group: %.0f bytes\n", perGroup);
  return ReportAtMost(
    kName, perGroup * kGroups / kMb, "MB for 1,024 groups", kTargetMb);
}

}
}

int main()
{
  return cactuspitch::Run();
}
