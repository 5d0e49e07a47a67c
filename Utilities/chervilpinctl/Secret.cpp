#include <Utilities/chervilpinctl/Secret.h>

#include <Configuration/Credential.h>

#include <openssl/rand.h>

namespace Chervilpin::Control {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t saltBytes = 16;

} // namespace

Core::ErrorOr<std::string> randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(buffer.data());
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1)
        return Core::failure(Core::ErrorCode::Internal, "the system gave no random numbers");
    return Configuration::toHex(buffer);
}

Core::ErrorOr<NewCredential> makeCredential(std::string_view prefix, const std::string &name)
{
    NewCredential credential;
    const std::string secret = TRY(randomHex(secretBytes));
    credential.salt = TRY(randomHex(saltBytes));
    credential.digest = Configuration::credentialDigest(credential.salt, secret).value_or("");
    credential.text = std::string(prefix) + name + "_" + secret;
    return credential;
}

} // namespace Chervilpin::Control
