#include <Observe/LineWriter.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <unistd.h>

using namespace Chervilpin::Observe;

TEST_GROUP(LineWriter)
{
    std::array<int, 2> pipeEnds{};

    void setup() override
    {
        LONGS_EQUAL(0, ::pipe(pipeEnds.data()));
    }
    void teardown() override
    {
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }
};

TEST(LineWriter, LinesArriveInOrder)
{
    LineWriter writer(pipeEnds[1]);
    writer.write("one");
    writer.write("two");
    writer.flush();
    std::array<char, 64> buffer{};
    const auto count = ::read(pipeEnds[0], buffer.data(), buffer.size());
    STRCMP_EQUAL("one\ntwo\n", std::string(buffer.data(), static_cast<std::size_t>(count)).c_str());
}

TEST(LineWriter, AReaderThatStopsNeverBlocksAndLosesCountedLines)
{
    LineWriter writer(pipeEnds[1]);
    const std::string line(1'000, 'x');
    for (int i = 0; i < 2'000; ++i)
        writer.write(line);
    CHECK(writer.droppedLines() > 0);
}
