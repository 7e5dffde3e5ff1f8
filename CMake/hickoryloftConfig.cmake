# Package configuration file for find_package(hickoryloft).

include(CMakeFindDependencyMacro)
find_dependency(PkgConfig)
find_dependency(Threads)
find_dependency(nlohmann_json)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(LIBEVENT_PTHREADS REQUIRED IMPORTED_TARGET libevent_pthreads)
find_package(spdlog REQUIRED)
pkg_check_modules(LIBXXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(LIBCRYPTO REQUIRED IMPORTED_TARGET libcrypto)

include(${CMAKE_CURRENT_LIST_DIR}/hickoryloftTargets.cmake)
