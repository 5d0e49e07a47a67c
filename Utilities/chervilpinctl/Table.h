#pragma once

#include <boost/json/object.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace Chervilpin::Control {

/// Rows of texts under a heading, printed in aligned columns.
class Table
{
public:
    explicit Table(std::vector<std::string> heading);
    void add(std::vector<std::string> row);
    void print(std::ostream &) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// A JSON value on one line as people write it: texts without quotes, lists with commas.
[[nodiscard]] std::string plainText(const boost::json::value &);

/// The resources of one kind, with a column for each field of their specs.
void printResources(std::ostream &, const boost::json::array &resources);

/// One resource with its spec and conditions, a field a line.
void printResource(std::ostream &, const boost::json::object &resource);

/// What a change does: `created Team/brokers`, and the fields that differ.
void printEffects(std::ostream &, const boost::json::array &effects);

/// Members, and how many have which configuration in force.
void printStatus(std::ostream &, const boost::json::object &status);

} // namespace Chervilpin::Control
