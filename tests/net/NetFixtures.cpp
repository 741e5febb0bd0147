#include "NetFixtures.h"

namespace acaciafork::net::test {

RawServer::RawServer(Loop &loop, Script script)
    : m_script(std::move(script))
    , m_listener(loop, [this](std::unique_ptr<TcpStream> it) { accept(std::move(it)); })
{
    m_port = leaf::try_handle_all(
            [&]() -> Result<std::uint16_t> {
                return m_listener.listen({ .host = "127.0.0.1", .port = 0 });
            },
            [] { return std::uint16_t(0); });
    REQUIRE(m_port != 0);
}

void RawServer::accept(std::unique_ptr<TcpStream> accepted)
{
    m_streams.push_back(std::move(accepted));
    TcpStream *stream = m_streams.back().get();
    auto head = std::make_shared<std::string>();
    stream->onRead([this, stream, head](std::string_view bytes) {
        head->append(bytes);
        const auto end = head->find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const std::string one = head->substr(0, end + 4);
        head->clear();
        m_script(*stream, one);
    });
}

} // namespace acaciafork::net::test
