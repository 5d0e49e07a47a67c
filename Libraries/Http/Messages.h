#pragma once

#include <Core/Milliseconds.h>

#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Http {

/// One header field. Names are compared without regard to case.
struct Field
{
    std::string name;
    std::string value;
};

struct Request
{
    std::string method;
    std::string target; ///< Path and query, as received.
    std::vector<Field> fields;
    std::string body;

    /// The value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

struct Response
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<Field> fields;
    std::string body;

    /// The value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

} // namespace Chervilpin::Http
