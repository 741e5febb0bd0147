#include <array>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <spdlog/fmt/fmt.h>

#include "platform/Platform.h"
#include "tests/net/NetFixtures.h"

using namespace acaciafork;
using namespace acaciafork::net::test;
using namespace acaciafork::platform;
using namespace std::chrono_literals;

namespace {

/// Ports on loopback that are free now.
std::array<std::uint16_t, 4> freePorts()
{
    net::Loop loop;
    std::array<std::uint16_t, 4> ports {};
    std::vector<std::unique_ptr<net::HttpServer>> servers;
    for (std::uint16_t &it : ports) {
        servers.push_back(std::make_unique<net::HttpServer>(
                loop, net::HttpServerSettings {},
                [](const std::shared_ptr<net::HttpExchange> &) {}));
        it = listenOnLoopback(*servers.back());
    }
    return ports;
}

/// The only control member of a cluster, with its binding.
class Member
{
public:
    explicit Member(bool evacuation)
        : m_folder(std::filesystem::temp_directory_path()
                   / fmt::format("acaciafork-evacuation-{}", m_ports[0]))
        , m_process(&m_loop, settings())
        , m_binding(
                  &m_loop, &m_process,
                  { .control = fmt::format("127.0.0.1:{}", m_ports[2]), .evacuation = evacuation })
    {
        const bool isStarted = leaf::try_handle_all(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(m_process.start());
                    BOOST_LEAF_CHECK(m_binding.start());
                    return true;
                },
                [] { return false; });
        REQUIRE(isStarted);
    }
    ~Member() { std::filesystem::remove_all(m_folder); }
    Member(const Member &) = delete;
    Member &operator=(const Member &) = delete;

    /// Status of the answer to a call without a body.
    std::string call(std::string_view method, std::string_view path)
    {
        RawPeer peer(m_loop, m_ports[2]);
        peer.exchange(
                fmt::format("{} {} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n", method, path),
                "\r\n\r\n");
        return peer.received.substr(sizeof("HTTP/1.1 ") - 1, 3);
    }

    void awaitLeadership()
    {
        runUntil(m_loop, [this] { return m_process.leadsJobs(); });
    }

    [[nodiscard]] std::size_t closedZones()
    {
        return m_process.jobs().state().closedZones().all().size();
    }

private:
    [[nodiscard]] control::ControlSettings settings() const
    {
        const std::string ini =
                fmt::format("[process]\nid=1\ncluster=c\nzone=a\n[listen]\npeers=127.0.0.1:{0}\n"
                            "operators=127.0.0.1:{1}\n[control]\nmembers=1@a@127.0.0.1:{0}\n"
                            "data-folder={2}\n[operators]\ntoken-file=/t\n[zones]\nnames=a,b\n",
                            m_ports[0], m_ports[1], m_folder.string());
        control::ControlSettings settings = leaf::try_handle_all(
                [&] { return control::readControlSettings(ini, "control.ini"); },
                [] { return control::ControlSettings {}; });
        REQUIRE(settings.members.size() == 1);
        settings.tokenFile.clear();
        return settings;
    }

    net::Loop m_loop;
    std::array<std::uint16_t, 4> m_ports = freePorts();
    std::filesystem::path m_folder;
    control::ControlProcess m_process;
    ControlBinding m_binding;
};

} // namespace

TEST_CASE("the calls that close and open a zone are acknowledged as often as they come")
{
    Member member(true);
    // Nobody leads yet: the caller may come back.
    CHECK(member.call("POST", "/api/Evacuation.Start/a") != "404");
    member.awaitLeadership();
    for (int it = 0; it < 2; ++it) {
        CHECK(member.call("POST", "/api/Evacuation.Start/a") == "200");
        CHECK(member.closedZones() == 1);
    }
    for (int it = 0; it < 2; ++it) {
        CHECK(member.call("POST", "/api/Evacuation.End/a") == "200");
        CHECK(member.closedZones() == 0);
    }
    CHECK(member.call("POST", "/api/Evacuation.Start/unknown") == "404");
    CHECK(member.call("POST", "/api/Evacuation.Start/") == "404");
    CHECK(member.call("GET", "/api/Evacuation.Start/a") == "404");
    CHECK(member.closedZones() == 0);
}

TEST_CASE("without the setting the calls do not exist")
{
    Member member(false);
    member.awaitLeadership();
    CHECK(member.call("POST", "/api/Evacuation.Start/a") == "404");
    CHECK(member.call("POST", "/api/Evacuation.End/a") == "404");
    CHECK(member.closedZones() == 0);
}
