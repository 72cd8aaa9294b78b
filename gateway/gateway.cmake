# The gateway is one small process: it takes the sources that it needs from the
# shared folders and links libraries statically, which keeps its memory low.
set(GATEWAY_SOURCES
  common/Clock.cpp common/Findings.cpp common/Metrics.cpp common/Settings.cpp
  policy/CrashQuarantine.cpp policy/HomeServers.cpp policy/LoadBoard.cpp
  policy/Placement.cpp policy/RetryBudget.cpp
  wire/gen-cpp/gossip_types.cpp)
file(GLOB GATEWAY_FOLDER_SOURCES CONFIGURE_DEPENDS
  gateway/*.cpp keyspace/*.cpp membership/*.cpp net/*.cpp platform/*.cpp
  routing/*.cpp)
list(FILTER GATEWAY_FOLDER_SOURCES EXCLUDE REGEX "Main\\.cpp$")
list(APPEND GATEWAY_SOURCES ${GATEWAY_FOLDER_SOURCES})

add_library(gateway_core STATIC ${GATEWAY_SOURCES})
target_include_directories(gateway_core PUBLIC ${CMAKE_SOURCE_DIR})
target_include_directories(gateway_core SYSTEM PUBLIC wire/gen-cpp)
target_compile_options(gateway_core PRIVATE -Wall -Wextra -Werror)
set_source_files_properties(wire/gen-cpp/gossip_types.cpp PROPERTIES
  COMPILE_OPTIONS "-w")
target_link_libraries(gateway_core PUBLIC
  absl::strings nlohmann_json::nlohmann_json
  absl::status libthrift.a libev.a libxxhash.a Threads::Threads)

add_executable(cactuspitch-gateway gateway/GatewayMain.cpp)
target_compile_options(cactuspitch-gateway PRIVATE -Wall -Wextra -Werror)
target_link_libraries(cactuspitch-gateway PRIVATE gateway_core)
target_link_options(cactuspitch-gateway PRIVATE
  -static-libstdc++ -static-libgcc -Wl,--gc-sections -Wl,--as-needed)
