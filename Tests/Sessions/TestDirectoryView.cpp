#include <Sessions/DirectoryView.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Sessions;
using namespace Chervilpin::Core::Literals;

namespace {

const Core::Instant start(100'000);

DatabaseEntry entry(const char *id, DatabaseAvailability availability = DatabaseAvailability::Ready)
{
    DatabaseEntry result;
    result.id = Core::DatabaseName(id);
    result.availability = availability;
    return result;
}

} // namespace

TEST_GROUP(DirectoryView)
{
    DirectoryView view;
};

TEST(DirectoryView, MissingEntryIsKeptForTheGracePeriod)
{
    const DatabaseEntry listed[] = {entry("a"), entry("b")};
    view.replace(listed, start);
    view.replace(std::span(listed).first(1), start + 1_s);
    LONGS_EQUAL(2, view.entries(start + 3_s).size());
    CHECK(view.nextExpiry() == start + 4_s);
    LONGS_EQUAL(1, view.entries(start + 4_s).size());
    CHECK(!view.nextExpiry());
}

TEST(DirectoryView, RestoredEntryStays)
{
    const DatabaseEntry listed[] = {entry("a"), entry("b")};
    view.replace(listed, start);
    view.remove(Core::DatabaseName("b"), start + 1_s);
    view.put(entry("b"));
    LONGS_EQUAL(2, view.entries(start + 10_s).size());
}

TEST(DirectoryView, MissingDrainingEntryIsRemovedImmediately)
{
    view.put(entry("a", DatabaseAvailability::Draining));
    view.remove(Core::DatabaseName("a"), start);
    LONGS_EQUAL(0, view.entries(start).size());
}
