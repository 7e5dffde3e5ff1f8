# Dependencies, compile options, and the functions that define libraries, programs and tests.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(LIBEVENT_PTHREADS REQUIRED IMPORTED_TARGET libevent_pthreads)
pkg_check_modules(LIBXXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(LIBCRYPTO REQUIRED IMPORTED_TARGET libcrypto)
find_package(spdlog REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)

add_library(hickoryloft_options INTERFACE)
target_compile_options(hickoryloft_options INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor
  # Aggregates use designated initializers; omitted members have default values.
  -Wno-missing-field-initializers)
if(HICKORYLOFT_WERROR)
  target_compile_options(hickoryloft_options INTERFACE -Werror)
endif()
if(HICKORYLOFT_FUZZ)
  # Instruments all packages for libFuzzer; the fuzz targets link its main function.
  target_compile_options(hickoryloft_options INTERFACE -fsanitize=fuzzer-no-link)
  target_link_options(hickoryloft_options INTERFACE -fsanitize=fuzzer-no-link)
endif()
if(HICKORYLOFT_SANITIZE)
  target_compile_options(hickoryloft_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(hickoryloft_options INTERFACE -fsanitize=address,undefined)
endif()

# Adds the library of one package: loft_package(name SOURCES a.cc ... LINKS loft_base ...).
# The target is named loft_<name>: a static library, or an interface library if there are no sources.
# LINKS lists targets or library files.
function(loft_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  if(ARG_SOURCES)
    add_library(loft_${name} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(loft_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(loft_${name} ${scope}
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/Source> $<INSTALL_INTERFACE:include/hickoryloft>)
  target_link_libraries(loft_${name} ${scope} ${ARG_LINKS} $<BUILD_INTERFACE:hickoryloft_options>)
endfunction()

# Adds one program: loft_program(loft-entry SOURCES main.cc ... LINKS loft_entry ...).
function(loft_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Source ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${name} PRIVATE HICKORYLOFT_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} hickoryloft_options)
endfunction()

# Adds one Catch2 test program and its ctest entry: loft_test(claims SOURCES a_test.cc ... LINKS loft_claims).
function(loft_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/Source ${CMAKE_SOURCE_DIR})
  target_link_libraries(test_${name} PRIVATE loft_test_main ${ARG_LINKS} hickoryloft_options)
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
