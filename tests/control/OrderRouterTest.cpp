#include <array>
#include <vector>

#include <doctest/doctest.h>

#include "acaciafork/control/Control.h"

using namespace acaciafork;
using namespace acaciafork::control;
using namespace std::chrono_literals;

namespace {

constexpr ProcessId self { 1 };
constexpr ProcessId other { 2 };
constexpr jobs::Tenure tenure { 3 };

/// Carries nothing out and counts.
struct CountingOrders : WorkerOrders
{
    void start(const jobs::StartRun &, std::string_view, jobs::Tenure) override { ++orders; }
    void stop(const jobs::StopRun &, jobs::Tenure) override { ++orders; }
    void pace(const jobs::PaceRun &, jobs::Tenure) override { ++orders; }
    void hold(const jobs::RenewWorkerLease &, jobs::Tenure) override { ++orders; }

    int orders = 0;
};

/// Keeps the outcomes.
struct RecordingAnswers : WorkerAnswers
{
    void startAnswered(Moment, WorkerAnswer answer, const jobs::RunKey &) override
    {
        outcomes.push_back(answer.outcome);
    }
    void stopAnswered(Moment, WorkerAnswer answer, const jobs::RunKey &) override
    {
        outcomes.push_back(answer.outcome);
    }
    void renewalAnswered(Moment, WorkerAnswer answer, bool, const jobs::RenewalAnswer *it) override
    {
        outcomes.push_back(answer.outcome);
        lists = *it;
    }

    std::vector<jobs::OrderOutcome> outcomes;
    jobs::RenewalAnswer lists;
};

/// A leader's router with one other member, whose messages the test delivers.
struct RouterFixture
{
    RouterFixture()
    {
        router.setLocal(&local);
        router.setDriver(&driver);
        relay.setOrders(&relayed);
    }

    void update(Timestamp heardAt)
    {
        const std::array members { RelayMember {
                .process = other, .zone = "b", .heardAt = heardAt } };
        router.update(at, tenure, members, 1000);
    }

    void hold(std::uint32_t worker)
    {
        router.hold({ .target = { .worker = { worker }, .name = { "w" }, .zone = "b" },
                      .wait = 1500ms },
                    tenure);
    }

    Moment at { timestampFromMicroseconds(10'000'000), 0 };
    CounterRegistry counters;
    CountingOrders local;
    CountingOrders relayed;
    RecordingAnswers driver;
    std::vector<wire::WorkerOrders> batches;
    std::vector<wire::WorkerAnswers> answers;
    OrderRouter router { { .fromWorkers = 100 },
                         self,
                         "a",
                         [this](ProcessId, wire::Envelope *it) {
                             batches.push_back(it->worker_orders());
                         },
                         [this] { return at.now.time_since_epoch() / 1us; },
                         &counters };
    OrderRelay relay { {},
                       [this](ProcessId, wire::Envelope *it) {
                           answers.push_back(it->worker_answers());
                       },
                       &counters };
};

} // namespace

TEST_CASE("a new leader gives the first orders to members that were heard, not all to itself")
{
    // At a take-over of 1,800 workers the leader would connect to every one of them at once.
    RouterFixture fixture;
    fixture.update(fixture.at.now - 100ms);
    for (std::uint32_t it = 1; it <= 5; ++it)
        fixture.hold(it);
    fixture.router.flush();
    CHECK(fixture.local.orders == 0);
    REQUIRE(fixture.batches.size() == 1);
    CHECK(fixture.batches.front().orders_size() == 5);

    // A member that was heard and does not answer: its orders are over, and later ones stay here.
    fixture.at.now += 701ms;
    fixture.update(fixture.at.now);
    CHECK(fixture.driver.outcomes
          == std::vector<jobs::OrderOutcome>(5, jobs::OrderOutcome::Unanswered));
    CHECK(fixture.router.outstanding() == 0);
    fixture.hold(6);
    CHECK(fixture.local.orders == 1);
}

TEST_CASE("a member that answers an empty batch carries orders, in the tenure that it answered in")
{
    RouterFixture fixture;
    fixture.update(fixture.at.now - 10s);
    fixture.hold(1);
    CHECK(fixture.local.orders == 1);
    fixture.router.flush();
    REQUIRE(fixture.batches.size() == 1);
    CHECK(fixture.batches.front().orders_size() == 0);
    fixture.relay.ordersArrived(self, fixture.batches.front(), 5);
    fixture.relay.flush();
    REQUIRE(fixture.answers.size() == 1);
    fixture.router.answersArrived(fixture.at, other, fixture.answers.front());
    fixture.update(fixture.at.now);
    fixture.hold(2);
    fixture.router.flush();
    CHECK(fixture.local.orders == 1);
    CHECK(fixture.batches.back().orders_size() == 1);
}

TEST_CASE("lists pass through a relay unchanged, and count from when the order was given")
{
    RouterFixture fixture;
    fixture.update(fixture.at.now);
    fixture.hold(1);
    fixture.router.flush();
    fixture.relay.ordersArrived(self, fixture.batches.front(), 5);
    REQUIRE(fixture.relayed.orders == 1);
    const jobs::RunKey run { .task = { .job = { 0xfedcba9876543210U }, .step = 1, .task = 9 },
                             .run = { 200'001 } };
    jobs::RenewalAnswer lists { .sentAt = fixture.at.now + 5ms, .born = { 7 }, .clockMs = 4321 };
    lists.running.push_back({ .run = run, .checkpoint = "c", .percent = 40, .load = -1 });
    lists.ended.push_back({ .number = 17, .run = run, .end = jobs::RunEnd::Lapsed });
    lists.hasMore = true;
    lists.unreadableRows = 3;
    const std::uint64_t number = fixture.batches.front().orders(0).number();
    fixture.relay.renewalAnswered(fixture.at,
                                  { .worker = { 1 },
                                    .tenure = tenure,
                                    .outcome = jobs::OrderOutcome::Done,
                                    .order = number },
                                  false, &lists);
    fixture.relay.flush();
    const Timestamp sentAt = fixture.at.now;
    fixture.at.now += 300ms;
    fixture.router.answersArrived(fixture.at, other, fixture.answers.back());
    REQUIRE(fixture.driver.outcomes.size() == 1);
    CHECK(fixture.driver.outcomes.front() == jobs::OrderOutcome::Done);
    const jobs::RenewalAnswer &it = fixture.driver.lists;
    CHECK(it.sentAt == sentAt);
    CHECK(it.born == Incarnation { 7 });
    CHECK(it.clockMs == 4321);
    CHECK(it.hasMore);
    CHECK(it.unreadableRows == 3);
    REQUIRE(it.running.size() == 1);
    CHECK(it.running.front().run == run);
    CHECK(it.running.front().load == -1);
    REQUIRE(it.ended.size() == 1);
    CHECK(it.ended.front().number == 17);
    CHECK(it.ended.front().end == jobs::RunEnd::Lapsed);

    // The same answer a second time finds nothing.
    fixture.router.answersArrived(fixture.at, other, fixture.answers.back());
    CHECK(fixture.driver.outcomes.size() == 1);
}

TEST_CASE("lists with an end of a kind that is not known count as no answer")
{
    // A member of another version may send one; taken for a known kind it would end a run.
    RouterFixture fixture;
    fixture.update(fixture.at.now);
    fixture.hold(1);
    fixture.router.flush();
    wire::WorkerAnswers answers;
    answers.set_tenure(tenure.value);
    wire::WorkerAnswer *answer = answers.add_answers();
    answer->set_number(fixture.batches.front().orders(0).number());
    answer->set_outcome(static_cast<std::uint32_t>(jobs::OrderOutcome::Done));
    answer->mutable_lists()->add_ended()->set_end(99);
    fixture.router.answersArrived(fixture.at, other, answers);
    REQUIRE(fixture.driver.outcomes.size() == 1);
    CHECK(fixture.driver.outcomes.front() == jobs::OrderOutcome::Unanswered);
}

TEST_CASE("a relay carries nothing for a leader whose tenure is over")
{
    RouterFixture fixture;
    wire::WorkerOrders orders;
    orders.set_tenure(5);
    fixture.relay.ordersArrived(other, orders, 5);
    orders.set_tenure(4);
    orders.add_orders()->mutable_stop();
    fixture.relay.ordersArrived(self, orders, 5);
    CHECK(fixture.relayed.orders == 0);
    CHECK(fixture.counters.counter("relay_orders_total{outcome=\"superseded\"}").value == 1);
}

TEST_CASE("a relay whose clock runs a little faster than its leader's goes on carrying orders")
{
    // Every order counted as late once the clocks had drifted apart by 300 ms, until the next
    // tenure.
    RouterFixture fixture;
    wire::WorkerOrders orders;
    orders.set_tenure(5);
    orders.add_orders()->mutable_stop();
    constexpr std::int64_t secondUs = 1'000'000;
    constexpr std::int64_t batchIntervalUs = 9'000;
    const auto relayClock = [](std::int64_t us) { return us + us * 90 / secondUs; };
    std::int64_t us = 0;
    for (int it = 1; us < 4'000 * secondUs; ++it) {
        us += batchIntervalUs;
        orders.set_sent_us(us);
        fixture.relay.ordersArrived(self, orders, relayClock(us));
        REQUIRE(fixture.relayed.orders == it);
    }
    // One that is held up still counts as late, and so does one from before a long sleep.
    const int carried = fixture.relayed.orders;
    orders.set_sent_us(us + 1);
    fixture.relay.ordersArrived(self, orders, relayClock(us) + secondUs / 2);
    orders.set_sent_us(us + 2);
    fixture.relay.ordersArrived(self, orders, relayClock(us) + 3600 * secondUs);
    CHECK(fixture.relayed.orders == carried);
}

TEST_CASE("a batch of orders that arrives twice is carried once")
{
    // The worker refused the first copy of a start, so its task went elsewhere, and took the
    // second.
    RouterFixture fixture;
    wire::WorkerOrders orders;
    orders.set_tenure(5);
    orders.add_orders()->mutable_stop();
    std::vector<wire::WorkerOrders> batches;
    for (std::int64_t it = 1; it <= 200; ++it) {
        orders.set_sent_us(it * 2'000);
        batches.push_back(orders);
        fixture.relay.ordersArrived(self, batches.back(), it * 2'000 + 300);
        // A copy overtaken by later batches is one too.
        fixture.relay.ordersArrived(self, batches[static_cast<std::size_t>(it) / 2],
                                    it * 2'000 + 900);
    }
    CHECK(fixture.relayed.orders == 200);
}

TEST_CASE("a report passed on to the leader keeps what it says of the worker")
{
    // A member that dropped a field would hide it from the leader for all workers that it hears.
    const jobs::WorkerReport report { .life = { .name = { "w" }, .born = { 3 }, .zone = "a" },
                                      .sequence = 4,
                                      .clockMs = 99,
                                      .coldFor = 7500ms };
    wire::WorkerReport message;
    encodeReport(report, &message);
    const jobs::WorkerReport copy = decodeReport(message);
    CHECK(copy.life.name == report.life.name);
    CHECK(copy.life.zone == "a");
    CHECK(copy.sequence == 4);
    CHECK(copy.clockMs == 99);
    CHECK(copy.coldFor == report.coldFor);
}
