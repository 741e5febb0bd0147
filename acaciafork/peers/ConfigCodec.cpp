#include "acaciafork/peers/ConfigCodec.h"

#include "wire/state.pb.h"

namespace acaciafork::peers {
namespace {

using Milliseconds = std::chrono::milliseconds;

routing::ServiceSettings decodeService(const wire::ServiceSpec &spec)
{
    routing::ServiceSettings settings { .service = { spec.name() } };

    // Fields that the document leaves at 0 keep their defaults.
    if (spec.queue_limit() > 0)
        settings.queueBound = spec.queue_limit();
    if (spec.deadline_ms() > 0)
        settings.defaultTimeout = Milliseconds(spec.deadline_ms());
    if (spec.longest_deadline_ms() > 0)
        settings.maxTimeout = Milliseconds(spec.longest_deadline_ms());
    if (spec.short_work_ms() > 0)
        settings.shortWork = Milliseconds(spec.short_work_ms());
    if (spec.slow_start_ms() > 0)
        settings.slowStart = Milliseconds(spec.slow_start_ms());
    if (spec.retry_budget_percent() > 0)
        settings.retryBudgetPercent = spec.retry_budget_percent();
    if (spec.ejected_percent() > 0)
        settings.ejectionFloorPercent = 100 - std::min(spec.ejected_percent(), 100U);
    if (spec.slots() > 0 && spec.short_work_slots() > 0)
        settings.shortSlotsPercent =
                100 * std::min(spec.short_work_slots(), spec.slots()) / spec.slots();
    return settings;
}

} // namespace

Result<std::vector<routing::ServiceSettings>> decodeServices(std::string_view document)
{
    wire::ConfigDocument message;
    if (!message.ParseFromArray(document.data(), static_cast<int>(document.size())))
        return fail(FailureKind::Protocol, "the configuration document can't be decoded");
    std::vector<routing::ServiceSettings> services;
    services.reserve(static_cast<std::size_t>(message.services_size()));
    for (const wire::ServiceSpec &it : message.services())
        services.push_back(decodeService(it));
    return services;
}

} // namespace acaciafork::peers
