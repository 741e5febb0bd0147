#include "acaciafork/operators/client/BeastTransport.h"

#include <exception>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "acaciafork/core/Settings.h"

namespace acaciafork::operators {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned httpVersion = 11;
constexpr std::int64_t mostPort = 65'535;
/// Largest answer taken, in bytes.
constexpr std::uint64_t largestAnswer = 268'435'456;

/// How far an exchange has come; it decides what its failure means.
enum class Stage : std::uint8_t { Connecting, Sent, Done };

/// One exchange under way.
struct Exchange
{
    asio::ip::tcp::endpoint endpoint;
    std::chrono::steady_clock::duration timeout;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    Stage stage = Stage::Connecting;
};

asio::awaitable<void> run(Exchange *exchange)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(exchange->timeout);
    co_await stream.async_connect(exchange->endpoint, asio::use_awaitable);

    // From the first byte on the other side may act.
    exchange->stage = Stage::Sent;
    stream.expires_after(exchange->timeout);
    co_await http::async_write(stream, exchange->request, asio::use_awaitable);
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largestAnswer);
    co_await http::async_read(stream, buf, parser, asio::use_awaitable);
    exchange->response = parser.release();
    exchange->stage = Stage::Done;
}

/// Reads host:port.
/// Fails with Failure of kind InvalidArgument.
Result<asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    std::int64_t port = 0;
    if (colon == std::string::npos
        || !parseBoundedNumber(std::string_view(address).substr(colon + 1), 1, mostPort, &port))
        return fail(FailureKind::InvalidArgument, address + ": must be host:port");
    boost::system::error_code ec;
    const auto host = asio::ip::make_address(address.substr(0, colon), ec);
    if (ec)
        return fail(FailureKind::InvalidArgument, address + ": the host must be an IP number");
    return asio::ip::tcp::endpoint(host, static_cast<std::uint16_t>(port));
}

} // namespace

Result<ClientReply> BeastTransport::send(const std::string &address, const ClientRequest &request)
{
    BOOST_LEAF_AUTO(endpoint, parseAddress(address));
    Exchange exchange { .endpoint = endpoint, .timeout = m_timeout };
    exchange.request.version(httpVersion);
    exchange.request.method_string(request.method);
    exchange.request.target(request.path);
    exchange.request.set(http::field::host, address);
    exchange.request.set(http::field::authorization, "Bearer " + request.token);
    exchange.request.set(http::field::content_type, "application/json");
    exchange.request.body() = request.body;
    exchange.request.keep_alive(false);
    exchange.request.prepare_payload();

    // One loop runs this exchange to its end.
    asio::io_context loop;
    std::string problem;
    asio::co_spawn(loop, run(&exchange), [&problem](std::exception_ptr failure) { // NOLINT
        try {
            if (failure)
                std::rethrow_exception(failure);
        } catch (const std::exception &e) {
            problem = e.what();
        }
    });
    loop.run();

    if (exchange.stage == Stage::Connecting)
        return fail(FailureKind::Unreachable, address + ": " + problem);
    if (exchange.stage == Stage::Sent)
        return fail(FailureKind::Timeout, address + ": the answer was lost: " + problem);
    return ClientReply { .status = static_cast<int>(exchange.response.result_int()),
                         .body = std::move(exchange.response.body()) };
}

} // namespace acaciafork::operators
