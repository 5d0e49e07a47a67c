# The fleet of configuration managers is shared with the tests of Configuration.
list(APPEND sources ${CMAKE_SOURCE_DIR}/Tests/Configuration/Fleet.cpp
     ${CMAKE_SOURCE_DIR}/Tests/Configuration/FakeStore.cpp)
