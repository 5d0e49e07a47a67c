#include <Observe/Log.h>

#include <Observe/LineWriter.h>

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <cctype>
#include <iostream>
#include <unistd.h>

namespace Chervilpin::Observe {

namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

struct SeverityName
{
    Severity severity;
    std::string_view name;
};

constexpr std::array<SeverityName, 4> severityNames{{
    {Severity::Debug, "debug"},
    {Severity::Info, "info"},
    {Severity::Warning, "warning"},
    {Severity::Error, "error"},
}};

std::string_view toString(Severity severity)
{
    return severityNames[static_cast<std::size_t>(severity)].name;
}

logging::sources::severity_logger<Severity> &logger()
{
    static logging::sources::severity_logger<Severity> instance;
    return instance;
}

bool isPlain(std::string_view value)
{
    return !value.empty() && std::ranges::all_of(value, [](unsigned char character) {
        return std::isgraph(character) && character != '"' && character != '=' && character != '\\';
    });
}

} // namespace

Core::ErrorOr<Severity> parseSeverity(std::string_view text)
{
    const auto found = std::ranges::find(severityNames, text, &SeverityName::name);
    if (found == severityNames.end())
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "'" + std::string(text)
                                 + "' is not a log level; use debug, info, warning or error");
    return found->severity;
}

std::string logValue(std::string_view value)
{
    if (isPlain(value))
        return std::string(value);
    return boost::json::serialize(boost::json::value(boost::json::string(value)));
}

namespace {

LineWriter &standardOutput()
{
    static LineWriter writer(STDOUT_FILENO);
    return writer;
}

/// Hands formatted lines to a LineWriter.
class LineBackend
    : public logging::sinks::basic_formatted_sink_backend<char,
                                                          logging::sinks::synchronized_feeding>
{
public:
    static void consume(const logging::record_view &, const std::string &line)
    {
        standardOutput().write(line);
    }
};

} // namespace

void flushLog()
{
    standardOutput().flush();
}

std::uint64_t droppedLogLines()
{
    return standardOutput().droppedLines();
}

void initializeLog(std::string_view program, std::string_view node, Severity minimum,
                   LogTarget target)
{
    const std::string origin =
        " program=" + logValue(program) + " node=" + logValue(node.empty() ? "-" : node);
    logging::add_common_attributes();
    const auto format = expressions::stream
        << "time="
        << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                   "%Y-%m-%dT%H:%M:%S.%f")
        << origin << " " << expressions::smessage;
    if (target == LogTarget::StandardOutput) {
        using Sink = logging::sinks::synchronous_sink<LineBackend>;
        const auto sink = boost::make_shared<Sink>();
        sink->set_formatter(format);
        logging::core::get()->add_sink(sink);
    } else {
        logging::add_console_log(std::clog, logging::keywords::auto_flush = true,
                                 logging::keywords::format = format);
    }
    logging::core::get()->set_filter(expressions::attr<Severity>("Severity") >= minimum);
}

void log(Severity severity, std::string_view event, const std::vector<LogField> &fields)
{
    BOOST_LOG_SEV(logger(), severity) << [&] {
        std::string line = "level=" + std::string(toString(severity)) + " event=" + logValue(event);
        for (const auto &field : fields)
            line += " " + field.key + "=" + logValue(field.value);
        return line;
    }();
}

} // namespace Chervilpin::Observe
