#ifndef PISTACHIOWOOD_SESSIONS_SESSION_TOKEN_CODEC_H
#define PISTACHIOWOOD_SESSIONS_SESSION_TOKEN_CODEC_H

#include <pistachiowood/error.h>
#include <pistachiowood/statement.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Longest accepted token text; service names are at most 128 characters.
inline constexpr std::size_t maxTokenLength = 512;

/// Encodes session tokens as URL-safe text "1.<payload>.<HMAC-SHA256>".
class SessionTokenCodec
{
public:
    /// Signs with the current key; also accepts tokens signed with the previous key, so that keys
    /// can be rotated one daemon at a time.
    explicit SessionTokenCodec(std::string currentKey, std::optional<std::string> previousKey = {});

    std::string encode(const SessionToken &token) const;
    /// Truncated, oversized, malformed or forged text is InvalidArgument.
    Result<SessionToken> decode(std::string_view text) const;

private:
    bool isSignatureValid(std::string_view signedPart, std::string_view signature) const;

    std::string currentKey_;
    std::optional<std::string> previousKey_;
};

} // namespace pistachiowood

#endif
