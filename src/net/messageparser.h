#pragma once

#include "net/header.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

namespace figpulley::net
{
/// Fewest bytes from the header of a chunk to the end of the message: the last chunk and the end of the trailer.
inline constexpr std::size_t minChunkHeaderBytes = 5;

/// Most bytes that are reserved for a body because its length is declared.
inline constexpr std::size_t maxReservedBytes = 64UL << 20U;

/// Parses one HTTP message incrementally with the parser of Boost.Beast.
template<bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    std::string method; ///< method of a request
    std::string target; ///< path and query of a request
    int status = 0; ///< status code of a response
    Headers headers;
    std::optional<std::size_t> length; ///< length of the body, if the headers declare it
    std::function<void(std::string_view)> onBody; ///< receives the body; if null, the body is stored in `body`
    std::string body;

    /// Whether the parser may be called again after it has asked for more bytes. It asserts that it gets a whole last chunk where it
    /// expects a chunk header. Anywhere else a message may end with fewer bytes.
    [[nodiscard]] bool canContinueWith(std::size_t bytes) const
    {
        const bool expectsChunkHeader = this->is_header_done() && this->chunked();
        return !expectsChunkHeader || bytes >= minChunkHeaderBytes;
    }

protected:
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb /*verb*/, View name, View path, int /*version*/, ErrorCode & /*error*/) override
    {
        this->method.assign(name.data(), name.size());
        this->target.assign(path.data(), path.size());
    }

    void on_response_impl(int code, View /*reason*/, int /*version*/, ErrorCode & /*error*/) override
    {
        this->status = code;
    }

    void on_field_impl(boost::beast::http::field /*field*/, View name, View value, ErrorCode & /*error*/) override
    {
        this->headers.push_back({std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }

    void on_header_impl(ErrorCode & /*error*/) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &declaredLength, ErrorCode & /*error*/) override
    {
        if (declaredLength) {
            this->length = static_cast<std::size_t>(*declaredLength);
            if (!this->onBody) {
                this->body.reserve(std::min(*this->length, maxReservedBytes)); // growing would copy a large body several times
            }
        }
    }

    std::size_t on_body_impl(View piece, ErrorCode & /*error*/) override
    {
        this->deliverBody({piece.data(), piece.size()});
        return piece.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, View piece, ErrorCode & /*error*/) override
    {
        this->deliverBody({piece.data(), piece.size()});
        return piece.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
    }

private:
    void deliverBody(std::string_view piece)
    {
        if (this->onBody) {
            this->onBody(piece);
        } else {
            this->body.append(piece);
        }
    }
};
} // namespace figpulley::net
