find_package(Boost 1.81 REQUIRED COMPONENTS program_options json)
find_package(spdlog REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(H2O REQUIRED IMPORTED_TARGET libh2o-evloop)

# BOOST_LEAF_CHECK is a statement expression, which clang's -Wpedantic minds.
add_library(acaciafork_options INTERFACE)
target_compile_options(acaciafork_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
    -Wno-missing-field-initializers -Wno-gnu-statement-expression)
target_include_directories(acaciafork_options INTERFACE ${CMAKE_SOURCE_DIR})

# acaciafork_library(<name> [LIBS <targets>...] [GENERATED <files>...]): the library of the current
# folder from every .cpp in it and below, and its test program from tests/<folder>.
function(acaciafork_library name)
    cmake_parse_arguments(ARG "" "" "LIBS;GENERATED" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(acaciafork_${name} STATIC ${sources} ${ARG_GENERATED})
    target_link_libraries(acaciafork_${name} PUBLIC ${ARG_LIBS} Boost::boost PRIVATE acaciafork_options)
    target_include_directories(acaciafork_${name} PUBLIC ${CMAKE_SOURCE_DIR})
    set_source_files_properties(${ARG_GENERATED} PROPERTIES COMPILE_OPTIONS "-w")

    file(RELATIVE_PATH dir ${CMAKE_SOURCE_DIR} ${CMAKE_CURRENT_SOURCE_DIR})
    string(REGEX REPLACE "^acaciafork/" "" dir ${dir})
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${dir}/*.cpp)
    if(tests)
        add_executable(test_${name} ${tests})
        target_link_libraries(test_${name} PRIVATE acaciafork_${name} acaciafork_options)
        target_compile_definitions(test_${name} PRIVATE
            ACACIAFORK_GOLDEN_DIR="${CMAKE_SOURCE_DIR}/tests/golden")
        add_test(NAME ${name} COMMAND test_${name})
    endif()
endfunction()

# acaciafork_program(<name> SOURCES <files>... [LIBS <targets>...]): an executable.
function(acaciafork_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LIBS} acaciafork_options)
endfunction()
