#pragma once

#include <Operator/Messages.h>
#include <Operator/Target.h>

#include <Configuration/ResourceCodec.h>

namespace Chervilpin::Operator {

enum class RunMode {
    Real,
    DryRun, ///< Checks only.
};

/// What an operator asks to be changed.
struct ChangeRequest
{
    Configuration::Proposal proposal; ///< Without id and author.
    RunMode mode = RunMode::Real;
};

/// Reads the body of `POST /v1/changes`.
[[nodiscard]] Configuration::FieldErrorsOr<ChangeRequest> readChanges(std::string_view body);

/// Reads the body of `PUT /v1/resources/<kind>/<name>`.
[[nodiscard]] Configuration::FieldErrorsOr<ChangeRequest> readPut(const Configuration::ResourceId &,
                                                                  std::string_view body);

/// Reads the query of `DELETE /v1/resources/<kind>/<name>`.
[[nodiscard]] Configuration::FieldErrorsOr<ChangeRequest>
readDelete(const Configuration::ResourceId &, const Target &);

} // namespace Chervilpin::Operator
