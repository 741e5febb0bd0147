#include "acaciafork/questionnaire/Generator.h"

#include <algorithm>

#include <boost/json.hpp>

#include "acaciafork/questionnaire/ServiceDerivation.h"
#include "acaciafork/questionnaire/Units.h"

namespace acaciafork::questionnaire {
namespace {

namespace json = boost::json;

constexpr std::int64_t bytesPerMb = 1'048'576;
constexpr std::int64_t bytesPerKb = 1024;
constexpr std::int64_t bodyShareOfMemory = 4;
/// Ids of control members begin at 1, those of entries here.
constexpr std::size_t firstEntryId = 101;
/// An entry's ports for operators and peers stand this much above those of a control member, so
/// that both can run on one instance.
constexpr std::int64_t entryPortOffset = 10;

/// Builds INI text section by section.
class IniText
{
public:
    void section(const std::string &name)
    {
        m_text += (m_text.empty() ? "[" : "\n[") + name + "]\n";
    }
    void set(const std::string &key, const std::string &value)
    {
        m_text += key + " = " + value + '\n';
    }
    [[nodiscard]] const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

/// Ports of one process.
struct Ports
{
    std::int64_t callers = 0;
    std::int64_t operators = 0;
    std::int64_t peers = 0;
};

/// Ports at an instance: those of the site, or three in a row from the instance's own.
Ports portsOf(const SiteAnswers &site, const Instance &instance, bool isEntry)
{
    if (instance.port != 0)
        return { instance.port, instance.port + 1, instance.port + 2 };
    const std::int64_t offset = isEntry ? entryPortOffset : 0;
    return { site.callersPort, site.operatorsPort + offset, site.peersPort + offset };
}

std::string addressOf(const Instance &instance, std::int64_t port)
{
    return instance.host + ':' + std::to_string(port);
}

/// Where an instance's process listens for its peers.
std::string peersAddress(const SiteAnswers &site, const std::string &text, bool isEntry)
{
    const Instance instance = instanceOf(text);
    return addressOf(instance, portsOf(site, instance, isEntry).peers);
}

/// List of members as id@zone@host:port.
std::string memberList(const SiteAnswers &site)
{
    std::string text;
    for (std::size_t i = 0; i < site.control.size(); ++i)
        text += (i == 0 ? "" : ", ") + std::to_string(i + 1) + '@'
                + instanceOf(site.control[i]).zone + '@'
                + peersAddress(site, site.control[i], false);
    return text;
}

/// List of the entries, as id@host:port, but for the one given.
std::string entryList(const SiteAnswers &site, std::size_t except)
{
    std::string text;
    for (std::size_t i = 0; i < site.entries.size(); ++i) {
        if (i != except)
            text += (text.empty() ? "" : ", ") + std::to_string(firstEntryId + i) + '@'
                    + peersAddress(site, site.entries[i], true);
    }
    return text;
}

/// Largest request body of all services; an entry takes none larger.
std::int64_t largestBodyBytes(const std::vector<ServiceAnswers> &services)
{
    std::int64_t kb = 1;
    for (const ServiceAnswers &it : services)
        kb = std::max(kb, it.largestRequestKb);
    return kb * bytesPerKb;
}

/// Memory for the request bodies that an entry holds at one time.
std::int64_t bufferedBytes(const SiteAnswers &site)
{
    return site.entryMemoryMb / bodyShareOfMemory * bytesPerMb;
}

/// Sections that every process has.
void addCommon(const SiteAnswers &site, bool isEntry, std::size_t id, const std::string &text,
               IniText *ini)
{
    const Instance instance = instanceOf(text);
    const Ports ports = portsOf(site, instance, isEntry);
    ini->section("process");
    ini->set("id", std::to_string(id));
    ini->set("cluster", site.cluster);
    ini->set("zone", instance.zone);
    ini->section("listen");
    if (isEntry)
        ini->set("callers", addressOf(instance, ports.callers));
    ini->set("operators", addressOf(instance, ports.operators));
    ini->set("peers", addressOf(instance, ports.peers));
    ini->section("control");
    ini->set("members", memberList(site));
    if (!isEntry)
        ini->set("data-folder", site.dataFolder + "/control-" + std::to_string(id));
    ini->section("operators");
    ini->set("token-file", site.tokenFile);
    ini->section("log");
    ini->set("format", site.logFormat);
    ini->set("level", "info");
}

std::string entryIni(const Answers &answers, std::size_t index)
{
    const SiteAnswers &site = answers.site;
    IniText ini;
    addCommon(site, true, firstEntryId + index, site.entries[index], &ini);
    ini.section("peers");
    ini.set("list", entryList(site, index));
    ini.section("limits");
    ini.set("body-bytes", std::to_string(largestBodyBytes(answers.services)));
    ini.set("buffered-bytes", std::to_string(bufferedBytes(site)));
    ini.section("config");
    ini.set("serve-without-control", site.serveWithoutControl ? "true" : "false");
    return ini.text();
}

std::string controlIni(const SiteAnswers &site, std::size_t index)
{
    IniText ini;
    addCommon(site, false, index + 1, site.control[index], &ini);
    ini.section("peers");
    ini.set("list", entryList(site, site.entries.size()));
    return ini.text();
}

std::string ctlIni(const SiteAnswers &site)
{
    std::string addresses;
    for (const std::string &it : site.control) {
        const Instance instance = instanceOf(it);
        addresses += (addresses.empty() ? "" : ", ")
                + addressOf(instance, portsOf(site, instance, false).operators);
    }
    IniText ini;
    ini.section("ctl");
    ini.set("addresses", addresses);
    ini.set("token-file", site.tokenFile);
    ini.set("output", "text");
    return ini.text();
}

/// Indented JSON, two levels deep, so that a person can read and compare it.
std::string pretty(const json::object &document)
{
    std::string text = "{";
    for (const auto &it : document) {
        text += (text.size() == 1 ? "\n  " : ",\n  ") + json::serialize(json::string(it.key()))
                + ": ";
        const json::array *list = it.value().if_array();
        if (list == nullptr || list->empty()) {
            text += json::serialize(it.value());
            continue;
        }
        for (std::size_t i = 0; i < list->size(); ++i)
            text += (i == 0 ? "[\n    " : ",\n    ") + json::serialize((*list)[i]);
        text += "\n  ]";
    }
    return text + "\n}\n";
}

std::string teamDocument(const TeamAnswers &team)
{
    return pretty({ { "quota",
                      { { "millicores", team.cores * millicoresPerCore },
                        { "memoryMb", team.memoryGb * mbPerGb },
                        { "accelerators", team.accelerators } } },
                    { "weight", team.share } });
}

void explainSite(const Answers &answers, std::vector<Explanation> *explanations)
{
    const SiteAnswers &site = answers.site;
    explanations->insert(
            explanations->end(),
            { { "control-*.ini", "[process] id", "1 to " + std::to_string(site.control.size()),
                "the order of control" },
              { "entry-*.ini", "[process] id",
                std::to_string(firstEntryId) + " to "
                        + std::to_string(firstEntryId + site.entries.size() - 1),
                "the order of entries" },
              { "all", "[process] cluster", site.cluster, "cluster, as answered" },
              { "entry-*.ini", "[listen] operators, peers",
                std::to_string(site.operatorsPort + entryPortOffset) + ", "
                        + std::to_string(site.peersPort + entryPortOffset),
                "operators-port and peers-port, ten higher, so that an entry and a control member "
                "can share an instance; an instance with a port of its own counts from that" },
              { "all", "[control] members", memberList(site), "control, and peers-port" },
              { "entry-*.ini", "[peers] list", "the other entries", "entries, and peers-port" },
              { "control-*.ini", "[peers] list", "all entries", "entries, and peers-port" },
              { "entry-*.ini", "[limits] body-bytes",
                std::to_string(largestBodyBytes(answers.services)),
                "the largest largest-request-kb of all services" },
              { "entry-*.ini", "[limits] buffered-bytes", std::to_string(bufferedBytes(site)),
                "a quarter of entry-memory-mb" },
              { "entry-*.ini", "[config] serve-without-control",
                site.serveWithoutControl ? "true" : "false", "serve-without-control" },
              { "control-*.ini", "[control] data-folder", site.dataFolder + "/control-ID",
                "data-folder, with one folder below it for each member" },
              { "all", "[operators] token-file", site.tokenFile, "token-file" },
              { "all", "[log] format", site.logFormat, "log-format" } });
}

} // namespace

Generated generate(const Answers &answers)
{
    Generated generated;
    const SiteAnswers &site = answers.site;
    explainSite(answers, &generated.explanations);
    for (std::size_t i = 0; i < site.control.size(); ++i)
        generated.files.push_back(
                { "control-" + std::to_string(i + 1) + ".ini", controlIni(site, i) });
    for (std::size_t i = 0; i < site.entries.size(); ++i)
        generated.files.push_back(
                { "entry-" + std::to_string(firstEntryId + i) + ".ini", entryIni(answers, i) });
    generated.files.push_back({ "ctl.ini", ctlIni(site) });

    // What goes into the replicated state rather than into each process's file.
    json::array services;
    for (const ServiceAnswers &it : answers.services) {
        services.push_back(deriveService(it, site, &generated.explanations));
        generated.files.push_back({ "placement-" + it.name + ".json",
                                    pretty(derivePlacement(it, &generated.explanations)) });
    }
    generated.files.push_back(
            { "configuration.json",
              pretty({ { "author", "questionnaire" }, { "services", std::move(services) } }) });
    for (const TeamAnswers &it : answers.teams) {
        generated.files.push_back({ "team-" + it.name + ".json", teamDocument(it) });
        generated.explanations.push_back(
                { "team-" + it.name + ".json", "quota, weight",
                  std::to_string(it.cores) + " cores, " + std::to_string(it.share) + " shares",
                  "cores, memory-gb, accelerators and share" });
    }
    return generated;
}

std::string explanationPage(const Generated &generated)
{
    std::string text = "# Why each value is what it is\n\n"
                       "| file | key | value | because |\n|---|---|---|---|\n";
    for (const Explanation &it : generated.explanations)
        text += "| " + it.file + " | " + it.key + " | " + it.value + " | " + it.because + " |\n";
    return text;
}

} // namespace acaciafork::questionnaire
