#include <Authenticate/KeyDigest.h>

#include <Core/Verify.h>

#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace Chervilpin::Authenticate {

namespace {

constexpr char separator = '\0';

struct DigestContextDeleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

} // namespace

Digest digestOf(std::string_view salt, std::string_view secret)
{
    const std::unique_ptr<EVP_MD_CTX, DigestContextDeleter> context(EVP_MD_CTX_new());
    VERIFY(context != nullptr);
    Digest digest{};
    unsigned int length = 0;
    bool isDone = EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    isDone = isDone && EVP_DigestUpdate(context.get(), salt.data(), salt.size()) == 1;
    isDone = isDone && EVP_DigestUpdate(context.get(), &separator, 1) == 1;
    isDone = isDone && EVP_DigestUpdate(context.get(), secret.data(), secret.size()) == 1;
    isDone = isDone && EVP_DigestFinal_ex(context.get(), digest.data(), &length) == 1;
    VERIFY(isDone && length == digestBytes);
    return digest;
}

bool isSameDigest(const Digest &a, const Digest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), digestBytes) == 0;
}

} // namespace Chervilpin::Authenticate
