#include <FleetWire/RelayCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Chervilpin;
using namespace Chervilpin::Fleet;

TEST_GROUP(RelayCodec){};

TEST(RelayCodec, RequestsRoundTrip)
{
    for (const auto kind : {ObjectKind::Directory, ObjectKind::Configuration, ObjectKind::Records,
                            ObjectKind::Evacuations}) {
        const RelayQuestion sent{kind, RelayQuestion::Form::Watch, 77, Core::Duration(2'000)};
        const auto read = FleetWire::decodeRelayQuestion(FleetWire::encode(sent));
        CHECK(read.has_value());
        CHECK(read->kind == kind && read->form == sent.form && read->wait == sent.wait);
        LONGS_EQUAL(77, read->since);
    }
}

TEST(RelayCodec, ResponsesRoundTrip)
{
    for (const auto outcome : {RelayOutcome::Page, RelayOutcome::HistoryGone,
                               RelayOutcome::StoreLost, RelayOutcome::NotAFeed}) {
        RelayAnswer sent;
        sent.outcome = outcome;
        sent.revision = 9;
        sent.confirmed = Core::Duration(-3'500);
        sent.objects = {{{"a", "{\"b\":1}", 8, false}, nullptr}, {{"c", "", 9, true}, nullptr}};
        const auto read = FleetWire::decodeRelayAnswer(FleetWire::encode(sent));
        CHECK(read.has_value());
        CHECK(read->outcome == outcome && read->confirmed == sent.confirmed);
        LONGS_EQUAL(2, read->objects.size());
        STRCMP_EQUAL("{\"b\":1}", read->objects.front().text.c_str());
        CHECK(read->objects.back().isDeleted);
    }
}

TEST(RelayCodec, DeltasRoundTrip)
{
    const std::string base = "{\"a\":1}{\"b\":2}{\"c\":3}";
    const std::string target = "{\"a\":1}{\"x\":2}{\"c\":3}";
    RelayAnswer sent;
    sent.outcome = RelayOutcome::Page;
    sent.objects = {
        {{"main", "", 8, false}, std::make_shared<const TextDelta>(makeDelta(base, target))}};
    const auto read = FleetWire::decodeRelayAnswer(FleetWire::encode(sent));
    CHECK(read.has_value() && read->objects.front().delta);
    const auto result = applyDelta(base, *read->objects.front().delta);
    CHECK(result.has_value() && *result == target);
}

TEST(RelayCodec, InvalidBodiesAreRejectedAndEmptyResponsesAreNoPage)
{
    CHECK(!FleetWire::decodeRelayQuestion("\xff\xff\xff").has_value());
    CHECK(!FleetWire::decodeRelayQuestion("\x08\x63").has_value()); // Kind 99.
    CHECK(!FleetWire::decodeRelayAnswer("no protobuf").has_value());
    // An HTTP server that rejects the request itself responds without a body.
    const auto empty = FleetWire::decodeRelayAnswer("");
    CHECK(empty.has_value() && empty->outcome != RelayOutcome::Page);
}
