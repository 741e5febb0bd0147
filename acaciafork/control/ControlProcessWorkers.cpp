#include "acaciafork/control/ControlProcess.h"
#include "acaciafork/control/OrderCodec.h"

// Reports of the workers of jobs, and the orders to them through relays.

namespace acaciafork::control {
namespace {

/// A member that was silent for longer may not hear this one either.
constexpr Duration longestMemberSilence = std::chrono::milliseconds(700);
/// Reports of workers gather for so long before the leader gets them.
constexpr Duration reportInterval = std::chrono::milliseconds(50);
/// Answers of workers gather for so long before the leader gets them.
constexpr Duration answerDelay = std::chrono::milliseconds(3);
constexpr Duration relayUpdateInterval = std::chrono::milliseconds(50);

} // namespace

void ControlProcess::OwnAnswers::startAnswered(Moment at, WorkerAnswer answer,
                                               const jobs::RunKey &run)
{
    m_process->m_router->startAnswered(at, answer, run);
}

void ControlProcess::OwnAnswers::stopAnswered(Moment at, WorkerAnswer answer,
                                              const jobs::RunKey &run)
{
    m_process->m_router->stopAnswered(at, answer, run);
}

void ControlProcess::OwnAnswers::renewalAnswered(Moment at, WorkerAnswer answer, bool wasImmediate,
                                                 const jobs::RenewalAnswer *lists)
{
    m_process->m_router->renewalAnswered(at, answer, wasImmediate, lists);
}

void ControlProcess::setWorkerOrders(WorkerOrders *own, WorkerOrders *relayed)
{
    m_orders = own;
    m_orderRelay.setOrders(relayed);
}

bool ControlProcess::isHeard(ProcessId member) const
{
    const auto it = m_heardAt.find(member);
    return it != m_heardAt.end() && net::Loop::now() - it->second <= longestMemberSilence;
}

bool ControlProcess::hearsLeader() const
{
    return isHeard(m_replica->leader());
}

bool ControlProcess::takeReport(const jobs::WorkerReport &report, const Reply &reply)
{
    if (leadsJobs()) {
        m_node->jobs().workerReported(moment(), report, reply);
        return true;
    }
    // Word that a worker leaves must be recorded before it is answered.
    if (report.life.draining || !hearsLeader())
        return false;
    encodeReport(report, m_reports.mutable_worker_reports()->add_reports());
    reply({ .status = 200, .body = "{}" });
    return true;
}

std::string ControlProcess::reportAddress(std::string_view zone) const
{
    if (zone == m_settings.zone)
        return m_controlAddress;
    for (const auto &[process, member] : m_finder->directory().members()) {
        if (member.zone == zone && !member.controlAddress.empty() && isHeard(process))
            return member.controlAddress;
    }
    return m_controlAddress;
}

void ControlProcess::sendReports()
{
    const Timestamp now = net::Loop::now();
    if (!m_reports.has_worker_reports() || now < m_nextReports)
        return;
    m_nextReports = now + reportInterval;
    if (leader() && leader() != self())
        m_link->send(leader(), &m_reports, net::Loop::wallMicroseconds());
    m_reports.Clear();
}

void ControlProcess::onWorkerReports(const wire::Envelope &envelope)
{
    if (!leadsJobs())
        return;
    const Moment at = moment();
    for (const wire::WorkerReport &it : envelope.worker_reports().reports())
        m_node->jobs().workerReported(at, decodeReport(it), [](const peers::ApiAnswer &) {});
}

void ControlProcess::updateRelays()
{
    const Moment at = moment();
    if (!leadsJobs() || at.now < m_nextRelayUpdate)
        return;
    m_nextRelayUpdate = at.now + relayUpdateInterval;
    std::vector<RelayMember> members;
    for (const auto &[process, member] : m_finder->directory().members()) {
        const auto heard = m_heardAt.find(process);
        if (heard != m_heardAt.end())
            members.push_back(
                    { .process = process, .zone = member.zone, .heardAt = heard->second });
    }
    std::erase_if(m_heardAt, [this](const auto &it) {
        return !m_finder->directory().members().contains(it.first);
    });
    const JobDriver &driver = m_node->jobs();
    m_router->update(at, driver.tenure(), members, driver.scheduler().workers().all().size());
    m_router->expire(at);
}

void ControlProcess::endTurn()
{
    if (m_isBroken)
        return;
    const Moment at = moment();
    m_router->beginTurn(at);
    m_node->turnEnded(at);
    m_router->flush();
    const Timestamp decided = net::Loop::now();
    m_replica->flush(at.now);
    m_load.addTurn(decided - at.now, net::Loop::now() - decided);
    if (!m_orderRelay.hasAnswers() || m_isAnswerFlushDue)
        return;
    m_isAnswerFlushDue = true;
    m_loop->after(answerDelay, [this] {
        m_isAnswerFlushDue = false;
        m_orderRelay.flush();
    });
}

} // namespace acaciafork::control
