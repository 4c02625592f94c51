#include "connection/link_service.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <array>

namespace eelgrassnotch::connection
{

std::string proveIdentity(const process::DaemonIdentity &identity, const std::string &key)
{
    if (key.empty()) {
        return {};
    }
    const std::string text = identity.name + "|" + identity.address + "|" + std::to_string(identity.port) + "|"
        + std::to_string(identity.incarnation) + "|" + std::to_string(identity.dataCentre.id);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest.data(), &size);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += digits[digest[index] >> 4];
        hex += digits[digest[index] & 0xf];
    }
    return hex;
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
