# chervilpin_library(NAME [DEPENDS...]): a static library of all sources of the current folder.
# Its headers are included as <NAME/Header.h>.
function(chervilpin_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
    add_library(${name} STATIC ${sources})
    set_target_properties(${name} PROPERTIES LINKER_LANGUAGE CXX)
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# chervilpin_program(NAME [DEPENDS...]): a program of all sources of the current folder.
function(chervilpin_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    install(TARGETS ${name} RUNTIME DESTINATION bin)
endfunction()

# chervilpin_test(FOLDER): one test program of all sources of a folder below Tests/. It links the
# library of the same name and what Tests/NAME/Depends.cmake sets in testDepends.
function(chervilpin_test folder)
    get_filename_component(name ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp ${folder}/*.h)
    set(testDepends "")
    include(${folder}/Depends.cmake OPTIONAL)
    add_executable(Test${name} ${sources} ${CMAKE_SOURCE_DIR}/Tests/TestMain.cpp)
    target_include_directories(Test${name} PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/Libraries)
    if(TARGET ${name})
        target_link_libraries(Test${name} PRIVATE ${name})
    endif()
    target_link_libraries(Test${name} PRIVATE ${testDepends} PkgConfig::CppUTest Threads::Threads)
    set_target_properties(Test${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${name} COMMAND Test${name} -c)
endfunction()
