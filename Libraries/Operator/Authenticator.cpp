#include <Operator/Authenticator.h>

#include <Configuration/Credential.h>

namespace Chervilpin::Operator {

namespace {

constexpr std::string_view scheme = "Bearer ";

tl::unexpected<Core::Error> refusal(std::string message)
{
    return Core::failure(Core::ErrorCode::Unauthenticated, std::move(message));
}

} // namespace

Core::ErrorOr<Configuration::OperatorName> authenticate(std::string_view authorization,
                                                        const Configuration::Snapshot &snapshot,
                                                        const BootstrapCredential &bootstrap)
{
    if (!authorization.starts_with(scheme))
        return refusal("send an operator's credential as `Authorization: Bearer ...`");
    const auto credential = Configuration::parseCredential(Configuration::operatorPrefix,
                                                           authorization.substr(scheme.size()));
    if (!credential)
        return refusal("that isn't an operator's credential");
    Configuration::OperatorName name(credential->name);
    if (const auto *known = snapshot.findOperator(name)) {
        const bool isRight =
            Configuration::matchesDigest(known->salt, known->digest, credential->secret);
        if (isRight && !known->isWithdrawn)
            return name;
        return refusal("that credential is unknown or withdrawn");
    }
    const bool mayBootstrap =
        snapshot.resources(Configuration::Kind::Operator).empty() && !bootstrap.salt.empty();
    if (mayBootstrap
        && Configuration::matchesDigest(bootstrap.salt, bootstrap.digest, credential->secret)) {
        return name;
    }
    return refusal("that credential is unknown or withdrawn");
}

} // namespace Chervilpin::Operator
