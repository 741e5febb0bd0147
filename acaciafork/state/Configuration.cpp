#include "acaciafork/state/Configuration.h"

#include <set>

#include "acaciafork/state/Snapshot.h"

namespace acaciafork::state {
namespace {

constexpr std::uint32_t maxPercent = 100;
/// Longest deadline that a service may allow: a stream that stays open through a day.
constexpr std::uint32_t maxDeadlineMs = 24 * 3600 * 1000;

/// What is wrong with one service; empty when nothing is.
std::string serviceValidationError(const wire::ServiceSpec &service)
{
    if (!isName(service.name()))
        return "a service needs a name";
    const std::string prefix = "service " + service.name() + ": ";
    if (!wire::ServiceClass_IsValid(service.service_class()))
        return prefix + "unknown class";
    if (service.slots() == 0 || service.connections() == 0)
        return prefix + "slots and connections must be at least 1";
    if (service.short_work_slots() >= service.slots() && service.short_work_slots() != 0)
        return prefix + "slots for short work must leave one for the rest";
    if (service.deadline_ms() == 0 || service.deadline_ms() > service.longest_deadline_ms()
        || service.longest_deadline_ms() > maxDeadlineMs)
        return prefix + "needs 0 < deadline <= longest deadline <= one day";
    if (service.retry_budget_percent() > maxPercent || service.ejected_percent() > maxPercent)
        return prefix + "a percentage is over 100";
    return {};
}

} // namespace

ApplyResult Configuration::propose(const wire::ProposeConfig &command, std::int64_t nowMicroseconds)
{
    const std::uint64_t currentVersion = version().value;
    if (command.expected_version() != currentVersion) {
        ApplyResult result = versionConflict(command.expected_version(), currentVersion);
        result.set_winner(current().author());
        result.set_winner_time_us(current().time_us());
        return result;
    }
    if (std::string problem = validationError(command.document()); !problem.empty())
        return makeResult(wire::OUTCOME_INVALID, currentVersion, std::move(problem));

    wire::ConfigRecord record;
    record.set_version(currentVersion + 1);
    record.set_time_us(nowMicroseconds);
    record.set_author(command.author());
    *record.mutable_document() = command.document();
    m_history.push_back(std::move(record));
    if (m_history.size() > m_limits.configHistory)
        m_history.pop_front();
    return makeResult(wire::OUTCOME_APPLIED, currentVersion + 1);
}

ConfigVersion Configuration::version() const
{
    return ConfigVersion { current().version() };
}

const wire::ConfigRecord &Configuration::current() const
{
    return m_history.empty() ? wire::ConfigRecord::default_instance() : m_history.back();
}

const wire::ConfigRecord *Configuration::find(ConfigVersion version) const
{
    // Versions in the history follow each other without a gap.
    if (m_history.empty() || version.value < m_history.front().version()
        || version.value > m_history.back().version())
        return nullptr;
    return &m_history[version.value - m_history.front().version()];
}

void Configuration::save(SnapshotWriter *writer) const
{
    for (const wire::ConfigRecord &it : m_history)
        *writer->record().mutable_config() = it;
}

bool Configuration::load(const wire::ConfigRecord &record)
{
    if (record.version() == 0 || m_history.size() >= m_limits.configHistory)
        return false;
    if (!m_history.empty() && record.version() != m_history.back().version() + 1)
        return false;
    m_history.push_back(record);
    return true;
}

std::string Configuration::validationError(const wire::ConfigDocument &document) const
{
    if (document.ByteSizeLong() > m_limits.configBytes)
        return "the document has more than " + std::to_string(m_limits.configBytes) + " bytes";
    if (static_cast<std::size_t>(document.services_size()) > m_limits.services)
        return "more than " + std::to_string(m_limits.services) + " services";
    std::set<std::string_view> names;
    for (const wire::ServiceSpec &it : document.services()) {
        if (std::string problem = serviceValidationError(it); !problem.empty())
            return problem;
        if (!names.insert(it.name()).second)
            return "service " + it.name() + " stands twice";
    }
    std::set<std::string_view> roles;
    for (const wire::RoleSettings &it : document.roles()) {
        if (!isName(it.role()) || !roles.insert(it.role()).second)
            return "each role needs a name and stands once";
    }
    return {};
}

} // namespace acaciafork::state
