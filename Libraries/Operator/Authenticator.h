#pragma once

#include <Configuration/Snapshot.h>

#include <Core/Result.h>

#include <string>
#include <string_view>

namespace Chervilpin::Operator {

/// The credential that is valid while no Operator resource exists, so that the first can be made.
struct BootstrapCredential
{
    std::string salt;   ///< Hexadecimal; empty: there is none.
    std::string digest; ///< As in Configuration::OperatorSpec.
};

/// The operator's name that an `Authorization: Bearer cvo_<name>_<secret>` header proves.
[[nodiscard]] Core::ErrorOr<Configuration::OperatorName>
authenticate(std::string_view authorization, const Configuration::Snapshot &,
             const BootstrapCredential &);

} // namespace Chervilpin::Operator
