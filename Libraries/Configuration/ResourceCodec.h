#pragma once

#include <Configuration/Change.h>
#include <Configuration/FieldError.h>

#include <boost/json/value.hpp>
#include <string_view>
#include <tl/expected.hpp>

/// The JSON form of resources, as operators write it and as the log keeps it.
namespace Chervilpin::Configuration {

template<typename T>
using FieldErrorsOr = tl::expected<T, FieldErrors>;

inline constexpr std::size_t maxDocumentBytes = 512UL * 1024;
inline constexpr std::size_t maxDocumentDepth = 16;
inline constexpr std::size_t maxNameLength = 63;

/// Parses a JSON text of bounded size and depth.
[[nodiscard]] FieldErrorsOr<boost::json::value> parseDocument(std::string_view text);

/// Whether the text is a name: lower-case letters, digits, dots and hyphens, at most
/// maxNameLength, beginning and ending with a letter or digit.
[[nodiscard]] bool isName(std::string_view text);

/// Whether the text is an IP number and a port, such as `10.0.0.1:5432` or `[::1]:5432`.
[[nodiscard]] bool isAddress(std::string_view text);

/// Reads the spec of a resource of that kind, reporting faults below \a path.
[[nodiscard]] Spec readSpec(Kind, const boost::json::value &, const std::string &path,
                            FieldErrors &errors);
[[nodiscard]] boost::json::object toJson(const Spec &);

/// `{action, kind, name, spec, resource_version}`; action may be left out for Put.
[[nodiscard]] ResourceChange readResourceChange(const boost::json::value &, const std::string &path,
                                                FieldErrors &errors);
[[nodiscard]] boost::json::object toJson(const ResourceChange &);

/// `{kind, name, spec, resource_version}`.
[[nodiscard]] boost::json::object toJson(const Resource &);

} // namespace Chervilpin::Configuration
