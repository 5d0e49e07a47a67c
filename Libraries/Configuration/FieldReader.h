#pragma once

#include <Configuration/FieldError.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string_view>

namespace Chervilpin::Configuration {

enum class Presence {
    Required,
    Optional,
};

/// Reads the fields of one JSON object and collects what is wrong with them.
///
/// Each getter returns a neutral value when it reports an error, so that one pass finds all faults.
class FieldReader
{
public:
    /// \a value must be an object; anything else is reported at \a path.
    FieldReader(const boost::json::value &value, std::string path, FieldErrors &errors);

    [[nodiscard]] std::string text(std::string_view field, Presence);
    [[nodiscard]] std::uint64_t number(std::string_view field, Presence, std::uint64_t minimum,
                                       std::uint64_t maximum, std::uint64_t fallback = 0);
    [[nodiscard]] bool flag(std::string_view field);
    /// Calls \a read with each element of a list and its path.
    void list(std::string_view field, Presence,
              const std::function<void(const boost::json::value &, const std::string &)> &read);
    /// The field as it is, or nullptr.
    [[nodiscard]] const boost::json::value *raw(std::string_view field, Presence);
    /// Reports the fields that no getter asked for.
    void rejectUnknown();
    /// Reports a fault of one field.
    void report(std::string_view field, std::string problem, std::string remedy);

private:
    [[nodiscard]] std::string pathOf(std::string_view field) const;

    const boost::json::object *object_ = nullptr;
    std::string path_;
    FieldErrors &errors_;
    std::set<std::string, std::less<>> known_;
};

} // namespace Chervilpin::Configuration
