#include "net/request_target.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/src.hpp> // compiles Boost.URL here, as no library is linked
#include <boost/url/url_view.hpp>

#include <charconv>

namespace pistachiowood {

std::string RequestTarget::queryText(std::string_view name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

Result<std::optional<std::uint64_t>> RequestTarget::queryUnsigned(std::string_view name) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return std::optional<std::uint64_t>{};
    const std::string &text = found->second;
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size())
        return makeError(ErrorCode::InvalidArgument, "query parameter \"" + std::string(name)
                                                         + "\" must be a non-negative integer");
    return std::optional<std::uint64_t>{number};
}

Result<RequestTarget> parseRequestTarget(std::string_view target)
{
    const auto parsed =
        boost::urls::parse_origin_form(boost::core::string_view(target.data(), target.size()));
    if (!parsed)
        return makeError(ErrorCode::InvalidArgument, "the request target is not a valid path");
    RequestTarget result;
    for (const auto segment : parsed->segments())
        result.path.emplace_back(segment.data(), segment.size());
    for (const auto param : parsed->params())
        result.query[std::string(param.key)] = std::string(param.value);
    return result;
}

std::string encodeForTarget(std::string_view text)
{
    return boost::urls::encode(boost::core::string_view(text.data(), text.size()),
                               boost::urls::unreserved_chars);
}

} // namespace pistachiowood
