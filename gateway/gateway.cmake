# The gateway is one small process: it takes the sources that it needs from the
# shared folders and links libraries statically, which keeps its memory low.
set(GATEWAY_SOURCES
  common/ByteBudget.cpp common/Clock.cpp common/Findings.cpp common/Metrics.cpp common/JsonText.cpp common/NameCheck.cpp common/RepeatFilter.cpp common/Settings.cpp
  policy/CrashQuarantine.cpp policy/PreferredServers.cpp policy/FleetLoadTable.cpp
  policy/OwnerAdmission.cpp policy/Placement.cpp policy/BroadcastPlan.cpp policy/RetryBudget.cpp
  policy/RequestLimiter.cpp policy/ServerLimits.cpp
  policy/SuspectExchange.cpp
  wire/gen-cpp/gossip_types.cpp)
file(GLOB GATEWAY_FOLDER_SOURCES CONFIGURE_DEPENDS
  gateway/*.cpp keyspace/*.cpp membership/*.cpp net/*.cpp platform/*.cpp
  routing/*.cpp scheduling/*.cpp)
list(FILTER GATEWAY_FOLDER_SOURCES EXCLUDE REGEX "Main\\.cpp$")
list(APPEND GATEWAY_SOURCES ${GATEWAY_FOLDER_SOURCES})

add_library(gateway_core STATIC ${GATEWAY_SOURCES})
target_include_directories(gateway_core PUBLIC ${CMAKE_SOURCE_DIR})
target_include_directories(gateway_core SYSTEM PUBLIC wire/gen-cpp)
target_compile_options(gateway_core PRIVATE -Wall -Wextra -Werror)
set_source_files_properties(wire/gen-cpp/gossip_types.cpp PROPERTIES
  COMPILE_OPTIONS "-w")
# Debian's CMake targets of Abseil name shared libraries; 25 of them cost each
# process 2.2 MB of resident memory, so the deployed build links archives.
set(ABSEIL_LIBRARIES absl::strings absl::status)
if(CACTUSPITCH_GATEWAY_ONLY)
  set(ABSEIL_LIBRARIES -Wl,--start-group)
  foreach(part status cord cord_internal cordz_info cordz_functions cordz_handle
      exponential_biased synchronization graphcycles_internal stacktrace
      symbolize demangle_internal debugging_internal malloc_internal strerror
      time time_zone strings strings_internal int128 throw_delegate
      raw_logging_internal log_severity base spinlock_wait)
    list(APPEND ABSEIL_LIBRARIES libabsl_${part}.a)
  endforeach()
  list(APPEND ABSEIL_LIBRARIES -Wl,--end-group)
endif()
target_link_libraries(gateway_core PUBLIC
  nlohmann_json::nlohmann_json ${ABSEIL_LIBRARIES} libthrift.a libev.a
  libxxhash.a libz.a Threads::Threads)

add_executable(cactuspitch-gateway gateway/GatewayMain.cpp)
target_compile_options(cactuspitch-gateway PRIVATE -Wall -Wextra -Werror)
target_link_libraries(cactuspitch-gateway PRIVATE gateway_core)
target_link_options(cactuspitch-gateway PRIVATE
  -static-libstdc++ -static-libgcc -Wl,--gc-sections -Wl,--as-needed)
