#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

class IgnoredFailure : public MemoryLeakFailure
{
public:
    void fail(char *) override { }
};

/// Leaks are looked for by the address sanitizer build, which also sees what libraries allocate.
///
/// CppUTest's own detector has noted allocations from before main(), and would read them after
/// they were freed without its knowledge; so it is replaced by an empty one.
void turnLeakDetectionOff()
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // CppUTest deletes both when it ends.
    auto *failure = new IgnoredFailure;
    MemoryLeakWarningPlugin::setGlobalDetector(new MemoryLeakDetector(failure), failure);
}

} // namespace

int main(int argc, char **argv)
{
    turnLeakDetectionOff();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
