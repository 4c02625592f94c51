#include "connection/http/answer_text.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <sstream>

namespace eelgrassnotch::connection::http
{

using boost::beast::http::field;

namespace
{

template <class Message>
std::string headerText(const Message &message)
{
    std::ostringstream text;
    text << message.base();
    return text.str();
}

}

std::string answerText(Answer answer, bool closes)
{
    answer.version(11);
    answer.keep_alive(!closes);
    answer.prepare_payload();
    return headerText(answer) + answer.body();
}

std::string streamHeaderText(AnswerHeader header, bool closes)
{
    boost::beast::http::response<boost::beast::http::empty_body> answer(std::move(header));
    answer.version(11);
    answer.keep_alive(!closes);
    answer.erase(field::content_length);
    answer.set(field::transfer_encoding, "chunked");
    return headerText(answer);
}

std::string chunkText(std::string_view part)
{
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += part;
    chunk += "\r\n";
    return chunk;
}

}
