#include "tests/decisions/batch/Scenario.h"

namespace acaciafork::batch::fakes {

void addRack(Session *session, const std::string &rack, const std::string &building,
             const std::string &zone, int workers, Resources room)
{
    for (int i = 0; i < workers; ++i)
        session->addWorker({ .identity = { .worker = { rack + "-w" + std::to_string(i) },
                                           .rack = { rack },
                                           .building = { building },
                                           .zone = { zone },
                                           .room = room } });
}

void submitJob(Session *session, const TestJob &job)
{
    session->world.truths[{ job.task }] = { .work = job.work,
                                            .used = job.used == Resources {} ? job.declared
                                                                             : job.used,
                                            .failsAfter = job.failsAfter,
                                            .checkpointTime = job.checkpointTime,
                                            .kind = job.kind };
    session->submit({ .task = { job.task },
                      .team = { job.team },
                      .family = { job.family },
                      .declared = job.declared,
                      .declaredRunTime = job.declaredRunTime,
                      .urgent = job.urgent });
}

void putService(Session *session, const std::string &service, std::uint32_t replicas,
                Resources size, std::uint32_t kind)
{
    session->world.serviceTruths[service] = { .used = size, .kind = kind, .service = true };
    session->putPlacement(
            { .service = { service }, .team = { "services" }, .replicas = replicas, .size = size });
}

} // namespace acaciafork::batch::fakes
