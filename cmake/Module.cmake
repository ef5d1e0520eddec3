# Adds one module as an object library, so that its self-registering plug-ins are always linked.
function(clementinebeam_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} OBJECT ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()
