# A module is a static library of src/<name>/*.cpp with headers in include/<name>/. A module without
# sources is an interface library, so that others can link to it.
function(cactusloom_module name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
    if(sources)
        add_library(cactusloom_${name} STATIC ${sources})
        target_include_directories(cactusloom_${name} PUBLIC ${CMAKE_SOURCE_DIR}/include)
        target_link_libraries(cactusloom_${name} PUBLIC ${ARGN})
    else()
        add_library(cactusloom_${name} INTERFACE)
        target_include_directories(cactusloom_${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
        target_link_libraries(cactusloom_${name} INTERFACE ${ARGN})
    endif()
endfunction()

# Stand-ins for the platform: stand_in/*.cpp with headers in the same folder, included as
# "stand_in/x.h".
function(cactusloom_stand_in)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/stand_in/*.cpp)
    add_library(cactusloom_stand_in STATIC ${sources})
    target_include_directories(cactusloom_stand_in PUBLIC ${CMAKE_SOURCE_DIR})
    target_link_libraries(cactusloom_stand_in PUBLIC ${ARGN})
endfunction()

# One Boost.Test program for each folder tests/<name>/ with *.cpp files. Cases listed in KNOWN-RED.txt
# as "test: <folder>/<suite>/<case>" are excluded from the run; make test prints them.
function(cactusloom_tests)
    set(known_red_file ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
        ${known_red_file})
    file(STRINGS ${known_red_file} known_red REGEX "^test: ")
    # Compiled and linted once instead of once per program.
    add_library(cactusloom_test_main OBJECT ${CMAKE_SOURCE_DIR}/tests/test_main.cpp)
    target_compile_definitions(cactusloom_test_main PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(cactusloom_test_main PRIVATE Boost::unit_test_framework)
    file(GLOB folders LIST_DIRECTORIES true CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/*)
    foreach(folder ${folders})
        file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
        if(NOT sources)
            continue()
        endif()
        get_filename_component(name ${folder} NAME)
        add_executable(${name}_tests ${sources} $<TARGET_OBJECTS:cactusloom_test_main>)
        target_compile_definitions(${name}_tests PRIVATE BOOST_TEST_DYN_LINK
            EXAMPLES_DIR="${CMAKE_SOURCE_DIR}/examples")
        target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests)
        target_link_libraries(${name}_tests PRIVATE cactusloom_daemon ${ARGN}
            Boost::unit_test_framework)
        set(left_out "")
        foreach(line ${known_red})
            if(line MATCHES "^test: ${name}/(.+)$")
                list(APPEND left_out "--run_test=!${CMAKE_MATCH_1}")
            endif()
        endforeach()
        add_test(NAME ${name} COMMAND ${name}_tests --log_level=test_suite ${left_out})
        set_tests_properties(${name} PROPERTIES TIMEOUT 300)
    endforeach()
endfunction()
