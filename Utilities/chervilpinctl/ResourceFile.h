#pragma once

#include <Configuration/FieldError.h>

#include <boost/json/array.hpp>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Chervilpin::Control {

/// A place in a file of resources.
struct Location
{
    std::string file;
    unsigned line = 0; ///< From 1; 0: not known.
};

/// A fault with its place.
struct LocatedError
{
    Location location;
    Configuration::FieldError error;
};
using LocatedErrors = std::vector<LocatedError>;

/// `file:line: field: problem (remedy)`.
[[nodiscard]] std::string toString(const LocatedError &);

/// The resources of some files, with the place of each field.
class ResourceSet
{
public:
    /// Adds the resources of a TOML or JSON text; the file's name decides which.
    tl::expected<void, LocatedErrors> add(const std::string &file, std::string_view text);

    /// Each as `{kind, name, spec, resource_version}`.
    [[nodiscard]] const boost::json::array &items() const { return items_; }
    /// The faults that can be found without a server.
    [[nodiscard]] LocatedErrors check() const;
    /// Adds the place of the field, or of the nearest thing around it that has one.
    [[nodiscard]] LocatedError locate(const Configuration::FieldError &) const;

private:
    void addItem(boost::json::value item, const std::map<std::string, Location> &places);

    boost::json::array items_;
    std::map<std::string, Location> places_;
};

} // namespace Chervilpin::Control
