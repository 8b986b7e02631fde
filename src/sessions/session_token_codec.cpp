#include "sessions/session_token_codec.h"

#include "base/json.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace pistachiowood {

namespace json = boost::json;

namespace {

constexpr std::string_view tokenVersion = "1";

boost::leaf::error_id invalidToken(const std::string &reason)
{
    return makeError(ErrorCode::InvalidArgument, "invalid session token: " + reason);
}

// URL-safe Base64 without padding (RFC 4648, section 5).
std::string encodeBase64Url(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    while (text.ends_with('='))
        text.pop_back();
    for (char &c : text)
        c = c == '+' ? '-' : c == '/' ? '_' : c;
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string padded;
    for (const char c : text) {
        if (c == '+' || c == '/' || c == '=')
            return std::nullopt;
        padded += c == '-' ? '+' : c == '_' ? '/' : c;
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (length < 0 || padding > 2)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string sign(const std::string &key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return encodeBase64Url({reinterpret_cast<const char *>(digest.data()), size});
}

bool equalInConstantTime(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
           && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

Result<SessionToken> parsePayload(std::string_view payload)
{
    json::error_code failure;
    const json::value value =
        json::parse(json::string_view(payload.data(), payload.size()), failure);
    if (failure || !value.is_array() || value.as_array().size() != 3
        || !value.as_array()[0].is_string())
        return invalidToken("malformed payload");
    const json::array &fields = value.as_array();
    json::error_code termFailure;
    json::error_code positionFailure;
    const auto term = fields[1].to_number<std::uint64_t>(termFailure);
    const auto position = fields[2].to_number<std::uint64_t>(positionFailure);
    if (termFailure || positionFailure)
        return invalidToken("malformed payload");
    return SessionToken{ServiceName(std::string(fields[0].as_string())), Term(term),
                        LogPosition(position)};
}

} // namespace

SessionTokenCodec::SessionTokenCodec(std::string currentKey, std::optional<std::string> previousKey)
    : currentKey_(std::move(currentKey))
    , previousKey_(std::move(previousKey))
{
}

std::string SessionTokenCodec::encode(const SessionToken &token) const
{
    const json::array payload{token.service.value(), token.term.value(), token.position.value()};
    const std::string signedPart =
        std::string(tokenVersion) + "." + encodeBase64Url(json::serialize(payload));
    return signedPart + "." + sign(currentKey_, signedPart);
}

Result<SessionToken> SessionTokenCodec::decode(std::string_view text) const
{
    if (text.size() > maxTokenLength)
        return invalidToken("longer than " + std::to_string(maxTokenLength) + " characters");
    const auto firstDot = text.find('.');
    const auto lastDot = text.rfind('.');
    if (firstDot == std::string_view::npos || lastDot == firstDot)
        return invalidToken("truncated");
    if (text.substr(0, firstDot) != tokenVersion)
        return invalidToken("unknown version");
    if (!isSignatureValid(text.substr(0, lastDot), text.substr(lastDot + 1)))
        return invalidToken("the signature does not match");
    const auto payload = decodeBase64Url(text.substr(firstDot + 1, lastDot - firstDot - 1));
    if (!payload)
        return invalidToken("malformed payload");
    return parsePayload(*payload);
}

bool SessionTokenCodec::isSignatureValid(std::string_view signedPart,
                                         std::string_view signature) const
{
    return equalInConstantTime(sign(currentKey_, signedPart), signature)
           || (previousKey_ && equalInConstantTime(sign(*previousKey_, signedPart), signature));
}

} // namespace pistachiowood
