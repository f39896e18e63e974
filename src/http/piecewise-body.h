#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string_view>

namespace figcleat
{

/**
 * Body for Beast's parsers that passes each piece on as it arrives and takes no memory for a length that is only
 * announced.
 *
 * @tparam Value what the message holds as its body
 * @tparam Take function object that is called with the body and a piece
 */
template<typename Value, typename Take>
struct piecewise_body
{
    using value_type = Value;

    class reader
    {
    public:
        template<bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
            : m_body(&body)
        {
        }
        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &problem)
        {
            problem = {};
        }
        template<typename Buffer>
        std::size_t put(const Buffer &buffer, boost::beast::error_code &problem)
        {
            problem = {};
            Take {}(*m_body, std::string_view(static_cast<const char *>(buffer.data()), buffer.size()));
            return buffer.size();
        }
        void finish(boost::beast::error_code &problem)
        {
            problem = {};
        }

    private:
        value_type *m_body;
    };
};

} // namespace figcleat
