#ifndef PISTACHIOWOOD_SESSIONS_SESSION_TOKEN_CODEC_H
#define PISTACHIOWOOD_SESSIONS_SESSION_TOKEN_CODEC_H

#include <pistachiowood/error.h>
#include <pistachiowood/statement.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Maximum length of an encoded token in characters; service names have at most 128.
inline constexpr std::size_t maxTokenLength = 512;

/// Encodes session tokens as URL-safe text "1.<payload>.<HMAC-SHA256>".
class SessionTokenCodec
{
public:
    /// Signs with the current key; also accepts tokens signed with the previous key, so that keys
    /// can be rotated one daemon at a time.
    explicit SessionTokenCodec(std::string currentKey, std::optional<std::string> previousKey = {});

    std::string encode(const SessionToken &token) const;
    /// Fails with InvalidArgument when the text is truncated, too long, malformed or not signed
    /// with an accepted key.
    Result<SessionToken> decode(std::string_view text) const;

private:
    bool isSignatureValid(std::string_view signedPart, std::string_view signature) const;

    std::string currentKey_;
    std::optional<std::string> previousKey_;
};

} // namespace pistachiowood

#endif
