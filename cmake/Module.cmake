# Adds one module as an object library, so that its self-registering plug-ins are always linked.
function(clementinebeam_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} OBJECT ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# Adds a program from its own sources and the modules that it is made of.
function(clementinebeam_executable name)
    cmake_parse_arguments(ARG "" "" "SOURCES;MODULES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_MODULES} ${ARG_DEPENDS})
    foreach(module ${ARG_MODULES})
        target_sources(${name} PRIVATE $<TARGET_OBJECTS:${module}>)
    endforeach()
endfunction()

# Adds one test program; each ctest entry runs one Boost.Test program with fixed seeds.
function(clementinebeam_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;MODULES;DEPENDS;INCLUDES" ${ARGN})
    clementinebeam_executable(${name} SOURCES ${ARG_SOURCES} MODULES ${ARG_MODULES}
        DEPENDS ${ARG_DEPENDS} Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_include_directories(${name} PRIVATE ${ARG_INCLUDES})
    add_test(NAME ${name} COMMAND ${name} --report_level=short --log_level=error)
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
