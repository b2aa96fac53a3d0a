# Build rules that every library, program and test of the workspace shares.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

set(FIGWELL_SANITIZER "" CACHE STRING "Sanitizers to build with, for example address,undefined")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # The sloppiness lets ccache serve files that use a precompiled header.
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CMAKE_COMMAND};-E;env;\
CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime;\
CCACHE_BASEDIR=${CMAKE_SOURCE_DIR};CCACHE_NOHASHDIR=1;\
${CCACHE_PROGRAM}")
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options json url)

add_library(figwell_options INTERFACE)
target_compile_options(figwell_options INTERFACE -Wall -Wextra -Werror)
target_link_libraries(figwell_options INTERFACE Threads::Threads)
if(FIGWELL_SANITIZER)
  target_compile_options(figwell_options INTERFACE
    -fsanitize=${FIGWELL_SANITIZER} -fno-sanitize-recover=all -fno-omit-frame-pointer -O1 -g1
    # GCC 12 sees uninitialized reads in its own <functional> under sanitizers.
    -Wno-maybe-uninitialized)
  if(FIGWELL_SANITIZER STREQUAL "thread")
    # TSan does not support memory fences. Asio uses one; the accesses that it
    # orders are guarded by a lock as well.
    target_compile_options(figwell_options INTERFACE -Wno-tsan)
  endif()
  target_link_options(figwell_options INTERFACE -fsanitize=${FIGWELL_SANITIZER})
endif()

option(FIGWELL_PCH "Use precompiled headers for Asio and Beast" ON)

# figwell_network provides Asio and Beast, with their implementations compiled once.
add_library(figwell_network STATIC "${CMAKE_SOURCE_DIR}/cmake/network.cc")
add_library(figwell::network ALIAS figwell_network)
target_link_libraries(figwell_network PUBLIC figwell_options Boost::headers OpenSSL::SSL)
target_compile_definitions(figwell_network PUBLIC
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
  BOOST_ASIO_NO_DEPRECATED)
if(FIGWELL_PCH)
  target_precompile_headers(figwell_network PRIVATE
    <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp>)
endif()

# figwell_use_network(TARGET): links Asio and Beast with their precompiled header.
function(figwell_use_network target)
  target_link_libraries(${target} PRIVATE figwell::network)
  if(FIGWELL_PCH)
    target_precompile_headers(${target} REUSE_FROM figwell_network)
  endif()
endfunction()

# figwell_library(NAME [DEPENDS target...])
#
# Declares the static library figwell::NAME from src/*.cc and its test program
# from tests/*.cc. New files are picked up without an edit here.
function(figwell_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(figwell_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(figwell_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(figwell::${name} ALIAS figwell_${name})
  target_include_directories(figwell_${name} ${scope} include)
  target_link_libraries(figwell_${name} ${scope} figwell_options ${ARG_DEPENDS})

  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if(tests AND FIGWELL_TESTS)
    figwell_test(${name}_tests LABEL ${name} SOURCES ${tests} DEPENDS figwell::${name})
    if(EXISTS "${CMAKE_CURRENT_SOURCE_DIR}/src")
      # Tests of a library's internals may include its private headers.
      target_include_directories(${name}_tests PRIVATE src)
    endif()
  endif()
endfunction()

# figwell_test(TARGET LABEL label SOURCES file... [DEPENDS target...])
#
# Declares a Catch2 program and registers each of its test cases with CTest.
function(figwell_test target)
  if(NOT FIGWELL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "LABEL" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${target} ${ARG_SOURCES})
  target_link_libraries(${target} PRIVATE figwell::testing ${ARG_DEPENDS})
  target_compile_definitions(${target} PRIVATE
    FIGWELL_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    FIGWELL_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  catch_discover_tests(${target} TEST_PREFIX "${ARG_LABEL}: "
    PROPERTIES LABELS ${ARG_LABEL} TIMEOUT 600)
endfunction()

# figwell_program(NAME [DEPENDS target...])
#
# Declares the program NAME from every *.cc in the current directory.
function(figwell_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE figwell_options ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE FIGWELL_VERSION="${PROJECT_VERSION}")
endfunction()

if(FIGWELL_TESTS)
  find_package(Catch2 2.13 REQUIRED)
  find_package(rapidcheck REQUIRED)
  include(Catch)
endif()
