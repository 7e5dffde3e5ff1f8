# Installs the daemons, the tools and libhickoryloft: the libraries in library_packages, their headers and a CMake
# package. Other projects use find_package(hickoryloft) and link hickoryloft::<package>.

include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(library_packages base settings claims documents limits actions placement routing)
set(library_targets hickoryloft_options)
foreach(package IN LISTS library_packages)
  list(APPEND library_targets loft_${package})
  set_target_properties(loft_${package} PROPERTIES EXPORT_NAME ${package})
endforeach()

install(TARGETS ${library_targets} EXPORT hickoryloftTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
# The headers of package placement include headers of packages endpoint and fleet.
foreach(package IN LISTS library_packages ITEMS endpoint fleet)
  install(DIRECTORY ${CMAKE_SOURCE_DIR}/Source/${package}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/hickoryloft FILES_MATCHING PATTERN "*.h")
endforeach()
install(EXPORT hickoryloftTargets NAMESPACE hickoryloft::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hickoryloft)

write_basic_package_version_file(${CMAKE_BINARY_DIR}/hickoryloftConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${CMAKE_SOURCE_DIR}/CMake/hickoryloftConfig.cmake ${CMAKE_BINARY_DIR}/hickoryloftConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hickoryloft)

# Installs the daemons and tools that are targets of this build.
foreach(program loft-entry loft-coordinator loftctl loft-report loft-load)
  if(TARGET ${program})
    install(TARGETS ${program} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endforeach()
