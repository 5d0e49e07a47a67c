#include <Services/Proxy/PlatformClient.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace Chervilpin::Proxy {

namespace json = boost::json;
using namespace Core::Literals;

namespace {

constexpr Core::Duration callTimeout = 2_s;
constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;

enum class Slashes {
    Keep,
    Encode,
};

std::string percentEncode(std::string_view text, Slashes slashes)
{
    namespace urls = boost::urls;
    const auto allowed = urls::unreserved_chars + '-';
    if (slashes == Slashes::Keep)
        return urls::encode(boost::core::string_view(text.data(), text.size()), allowed + '/');
    return urls::encode(boost::core::string_view(text.data(), text.size()), allowed);
}

/// Writes each kind of call as an HTTP request.
struct RequestWriter
{
    Http::Request operator()(const Platform::Get &call) const
    {
        return {"GET", "/objects/" + percentEncode(call.key, Slashes::Keep), {}, {}};
    }

    Http::Request operator()(const Platform::Put &call) const
    {
        return {"PUT",
                "/objects/" + percentEncode(call.key, Slashes::Keep),
                {{"If-Version", std::to_string(call.expected)}},
                call.value};
    }

    Http::Request operator()(const Platform::Delete &call) const
    {
        return {"DELETE",
                "/objects/" + percentEncode(call.key, Slashes::Keep),
                {{"If-Version", std::to_string(call.expected)}},
                {}};
    }

    Http::Request operator()(const Platform::List &call) const
    {
        return {"GET", "/list?prefix=" + percentEncode(call.prefix, Slashes::Encode), {}, {}};
    }

    Http::Request operator()(const Platform::Watch &call) const
    {
        return {"GET",
                "/watch?prefix=" + percentEncode(call.prefix, Slashes::Encode)
                    + "&since=" + std::to_string(call.since)
                    + "&wait_ms=" + std::to_string(call.wait.milliseconds()),
                {},
                {}};
    }

    Http::Request operator()(const Platform::ListVms &) const { return {"GET", "/vms", {}, {}}; }
};

Platform::Object readObject(const json::value &value)
{
    Platform::Object object;
    object.key = json::value_to<std::string>(value.at("key"));
    object.version = value.at("version").to_number<std::uint64_t>();
    if (const auto *text = value.as_object().if_contains("value"))
        object.value = json::value_to<std::string>(*text);
    return object;
}

Platform::Vm readVm(const json::value &value)
{
    Platform::Vm vm;
    vm.name = Core::NodeName(json::value_to<std::string>(value.at("name")));
    vm.dataCentre = Core::DataCentreName(json::value_to<std::string>(value.at("data_centre")));
    vm.peerAddress = json::value_to<std::string>(value.at("peer_address"));
    vm.isLeaving = value.at("leaving").as_bool();
    return vm;
}

Platform::ReplyBody readSuccess(const json::value &value)
{
    if (const auto *vms = value.as_object().if_contains("vms")) {
        Platform::Vms list;
        for (const auto &vm : vms->as_array())
            list.vms.push_back(readVm(vm));
        return list;
    }
    Platform::Objects result;
    if (const auto *objects = value.as_object().if_contains("objects")) {
        for (const auto &object : objects->as_array())
            result.objects.push_back(readObject(object));
        result.revision = value.at("revision").to_number<std::uint64_t>();
        return result;
    }
    result.objects.push_back(readObject(value));
    return result;
}

Platform::ReplyBody readReply(const Core::ErrorOr<Http::Response> &response)
{
    if (!response) {
        const bool isRefused = response.error().code == Core::ErrorCode::Unavailable;
        return Platform::NoAnswer{isRefused, response.error().message};
    }
    if (response->status == statusNotFound)
        return Platform::Missing{};
    boost::system::error_code error;
    const json::value value = json::parse(response->body, error);
    if (error)
        return Platform::NoAnswer{false, "the answer is no JSON: " + error.message()};
    try {
        if (response->status == statusOk || response->status == statusCreated)
            return readSuccess(value);
        if (response->status == statusConflict)
            return Platform::VersionConflict{readObject(value)};
    } catch (const std::exception &problem) {
        return Platform::NoAnswer{false, problem.what()};
    }
    return Platform::NoAnswer{false, "status " + std::to_string(response->status)};
}

} // namespace

PlatformClient::PlatformClient(boost::asio::io_context &context,
                               boost::asio::ip::tcp::endpoint endpoint, Core::DataCentreName self)
    : client_(context, std::move(endpoint))
    , self_(std::move(self))
{ }

void PlatformClient::call(const Platform::Call &call, Completion completion)
{
    ++callCount_;
    Http::Request request = std::visit(RequestWriter(), call.body);
    request.fields.push_back({"Data-Centre", self_.value()});
    Core::Duration timeout = callTimeout;
    if (const auto *watch = std::get_if<Platform::Watch>(&call.body))
        timeout = timeout + watch->wait;
    client_.send(std::move(request), timeout,
                 [id = call.id, completion = std::move(completion)](
                     const Core::ErrorOr<Http::Response> &response) {
                     completion({id, readReply(response)});
                 });
}

} // namespace Chervilpin::Proxy
