"""The decisions of one gateway; its events, actions and settings are in policy/interface.py.

Each concern has a module: which server (choice.py, fleet.py), how much (cap.py), for whom (quota.py). Here
they meet: a request's way from its coming to its one final answer.
"""

import zlib
from bisect import insort

from thistletrail.policy import leased_budgets as allowances
from thistletrail.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from thistletrail.policy.base import NEVER, TICK_US, Job, S
from thistletrail.policy.events import (
    NEVER_RAN_RESULTS,
    NOT_SENT_RESULTS,
    AttemptEnded,
    AttemptResult,
    BudgetGranted,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    LoadReport,
    PeerMessageReceived,
    QuotaMessage,
    RequestArrived,
    ShutdownStarted,
    SnapshotFound,
    StreamStarted,
    TimerFired,
)
from thistletrail.policy.leased_budgets import FLOOR, Store
from thistletrail.policy.memory import recall
from thistletrail.policy.overload_control import FAIR_N, MOST_PERIODS
from thistletrail.policy.quota import Quota
from thistletrail.policy.retry_detection import RetryDetector
from thistletrail.policy.server_selection import FEW_GATEWAYS, SMOOTH, Backend
from thistletrail.policy.settings import Effect, Settings

PATIENCE_STEPS = 200  # first tries by which the known patience of clients can rise by about its double
RATE_SMOOTH = 0.3  # weight of a period's sends in a running mean
AVOID_US = 300_000  # a server that turned a request away is full for about a service time
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late
# When one that the cap keeps out should come again, as a part of its aim: soon enough to be served in time.
SOON_PART = 5
SPREAD = 1.0  # the part of that time over which clients are spread on the way back from restarts
RETRY_SHARE, RETRY_STORE = 0.1, 8.0  # further attempts earned by a first one, and kept at most

# Results after which the connection is not used again.
BROKEN = {
    AttemptResult.TIMEOUT,
    AttemptResult.CANCELLED,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
    AttemptResult.CONNECT_FAILED,
}


class Gateway(Quota):
    """One gateway: `handle` takes an event and gives the actions to carry out, in order."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.alarm_us = NEVER
        self.last_us = NEVER  # until when requests may last
        self.patience_us = [0] * len(settings.classes)  # how long clients wait for their first tries
        self.waits_of = [RetryDetector() for _ in settings.classes]  # what all their tries say
        self.retries = RETRY_STORE / 2
        # All gateways' further attempts, divided by leases; none: a share of the first ones here.
        further = Store(settings.retry_rate, settings.retry_burst, FLOOR / settings.gateway_count, 0)
        self.further = further if settings.retry_rate else None
        self.not_again = 0  # further attempts that were not begun in this period, as none was left
        self.on = {
            RequestArrived: self.on_request,
            AttemptEnded: self.on_outcome,
            TimerFired: self.on_tick,
            EndpointUpdate: self.on_list,
            PeerMessageReceived: self.on_peer,
            ClientDisconnected: self.on_end,
            StreamStarted: self.on_end,
            ShutdownStarted: self.on_draining,
            SnapshotFound: self.on_recall,
            BudgetGranted: self.on_allowance,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.now, self.actions = now_us, []
        if self.period_us < 0:
            self.period_us = self.since_us = now_us
            if self.further:
                self.further.at = now_us
        if act := self.on.get(type(event)):
            act(event)
        self.send_words()
        busy = self.held or self.words or self.jobs  # an idle gateway wakes up only to end its periods
        due = max(now_us + TICK_US, 0 if busy else self.period_us + self.cc_us)
        if due < self.alarm_us:
            self.alarm_us = due
            self.actions.append(SetTimer(due - now_us, 0))
        return self.actions

    def on_tick(self, _: TimerFired) -> None:
        if self.now < self.alarm_us:
            return
        self.alarm_us = NEVER
        while self.now - self.period_us >= self.cc_us:
            self.end_period()
        self.end_waits()
        self.release()
        held, self.held = self.held, []
        turn_us = 0.0 if self.allowance() else self.turn_us()
        for entry in held:
            if not self.expire(entry[2], NEEDED_HELD, len(self.held) * turn_us):
                self.held.append(entry)

    def on_request(self, req: RequestArrived) -> None:
        key = (zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        self.starts.note_first_request(self.now)
        customer = self.customer(key)
        rule = self.set.classes[req.class_index]
        gone = 0 if req.is_taken_over else self.gone_us(req)
        late = gone + NEEDED_NEW * self.mean_us[req.class_index] >= rule.latency_objective_us
        job = self.jobs[req.id] = Job(req, rule, customer, self.now, 0 if rule.late_value else gone)
        job.end_by(self.last_us)
        if late and rule.late_value:
            job.late, job.value = True, job.value * rule.late_value
        if not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            (self.inherit if req.is_taken_over else self.admit)(job)

    def inherit(self, job: Job) -> None:
        """Another gateway has admitted it, and taken its units: it waits for its turn, and goes where it may
        have run. What may not be repeated and may have run is over."""
        job.granted_until, job.ran_us = NEVER, self.now
        job.ran_on = job.bound = self.servers.get(job.req.ran_on_server)
        if job.bound and job.rule.effect is Effect.UNSAFE:
            self.end(job)
            return
        self.wanted += 1
        insort(self.held, (-job.value, next(self.serial), job))
        self.release()

    def on_draining(self, event: ShutdownStarted) -> None:
        """What is held and cannot be answered in that is refused now, as a later word would serve nobody."""
        self.last_us = self.now + event.remaining_us
        for job in list(self.jobs.values()):
            job.end_by(self.last_us)
            if not job.servers:
                self.expire(job, NEEDED_HELD)

    def on_allowance(self, event: BudgetGranted) -> None:
        allowances.take(self, event)

    def on_recall(self, event: SnapshotFound) -> None:
        self.actions.append(WriteLog(recall(self, event)))

    def gone_us(self, req: RequestArrived) -> int:
        """How long ago the client first asked, as far as it is known: a retry has that much less of its time.

        What a retry would be served after the aim is worth little or nothing, and takes its customer's quota.
        Unmarked ones are told by a time to wait that first tries do not have; what a drain has cut tells
        nothing.
        """
        known, rule = self.patience_us[req.class_index], self.set.classes[req.class_index]
        if req.is_retry:
            return 0 if rule.late_value else max(0, known - req.remaining_us)
        if self.last_us == NEVER:
            waits = self.waits_of[req.class_index]
            waits.record(req.remaining_us)
            if not waits.is_common(req.remaining_us):
                return max(0, rule.deadline_us - req.remaining_us)
        if rule.late_value:
            return 0
        # The least of late, as clients may differ; it recovers should they wait for longer from now on.
        longer = known + known // PATIENCE_STEPS + 1 if known else req.remaining_us
        self.patience_us[req.class_index] = min(req.remaining_us, longer)
        return 0

    def end_period(self) -> None:
        self.period_us += self.cc_us
        for server in self.servers.values():  # a slow one that is sent nothing must get its chance again
            server.slowness += SMOOTH * (1 - server.slowness)
            server.latency_ratio += SMOOTH * (self.mean_lag - server.latency_ratio)
        # What was to be sent, not what was: a fleet of cold servers, each spaced by this rate, would never
        # be sent more than before.
        sent = max(self.accepted, self.wanted if self.n_past is None else min(self.wanted, self.n_past))
        self.rate += (RATE_SMOOTH if self.rate else 1) * (sent * S / self.cc_us - self.rate)
        self.wanted = 0
        if self.not_again:
            text = f"further attempts are spent: {self.not_again} not begun in a period"
            self.actions.append(WriteLog(text))
            self.not_again = 0
        self.fleet.forget_stale(self.now)
        self.forget_customers()
        self.update_cap(self.accepted)
        was, most = self.cc_us, min(MOST_PERIODS, round(FAIR_N / max(1.0, self.rate * self.second / S)))
        self.cc_us = self.second * max(1, most)
        if self.n_past is not None:
            self.set_n(self.n_exact * self.cc_us / was)
        self.accepted = 0

    def release(self) -> None:
        blocked, held = not self.allowance(), self.held
        if blocked or not held:
            return
        self.held = []
        for entry in held:
            job = entry[2]
            waits = job.over or (not job.servers and (blocked or not self.under_ceiling(job)))
            if server := None if waits else self.choose(job):
                self.send(job, server)
            elif not job.over:
                self.held.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not self.allowance() or not (waits or server)

    def expire(self, job: Job, means: float, ahead_us: float = 0.0) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed, and
        before half of its time is over while nothing of it has been sent. Where those ahead of it take too
        long, that is known at once, and its client may still come in time to where there is room."""
        needed = min(means * self.mean_us[job.req.class_index], job.rule.latency_objective_us / 2) + ahead_us
        late = job.may_refuse() and self.now + needed >= job.latency_objective_us
        late = late or (job.unsent == len(job.servers) and self.now + TICK_US >= job.half_us)
        if not job.over and (late or self.now + 2 * TICK_US >= job.end_us):
            soon = job.rule.latency_objective_us // SOON_PART
            useful = self.now + soon + self.mean_us[job.req.class_index] < job.latency_objective_us
            # Refused together, they must not come together.
            if useful and self.starts.is_recovering(self.now):
                soon = round(soon * (1 + SPREAD * (self.random.random() - 0.5)))
            self.end(job, soon if useful else self.set.max_retry_after_us)
        return job.over

    def on_peer(self, message: PeerMessageReceived) -> None:
        """The home adds up what its set asks and spends, or takes over at its start, and answers."""
        self.starts.note_first_request(self.now)
        self.unanswered.pop(message.sender, None)
        if message.digest and self.fleet.accept(message.sender, message.digest, self.now):
            self.hear(message.digest)
        for word in message.quota_messages:
            if not word.set_size:
                self.on_start(message.sender, word)
                continue
            key = (word.customer, word.plan_index, word.set_first, word.set_size)
            in_set = (self.set.gateway_index - word.set_first) % self.set.gateway_count < word.set_size
            known = word.plan_index < len(self.set.plans) and word.set_first < self.set.gateway_count
            if not known or not 0 < word.set_size <= self.set.gateway_count or not in_set:
                continue
            new, customer = key not in self.customers, self.customer(key)
            if word.is_answer:
                # A home that has lost its memory knows less than what it told before.
                kept = customer.level if self.starts.has_lost_state(message.sender, self.now) else word.level
                customer.heard_us, customer.level = self.now, min(kept, word.level)
                customer.others = max(0.0, word.demand - customer.own)
                customer.part = min(customer.part, max(0.0, word.level / customer.size))
                self.end_waits(customer if word.requested else None, word.spent)
            elif customer.home == self.set.gateway_index:
                if new:  # the lesser: what others knew before a home was away is more than what is left
                    customer.level = min(customer.level, word.level)
                customer.others += word.demand
                customer.spend(word.spent)
                chance = customer.chance(word.requested)
                granted = (
                    word.requested * customer.grant(word.requested, chance) if word.requested > 0 else 0.0
                )
                if word.requested or customer.level < customer.plan.burst / 2:
                    self.tell(message.sender, customer, word.requested, granted)
                customer.spend(word.requested * chance)

    def on_start(self, sender: int, word: QuotaMessage) -> None:
        """A peer tells of its start: it is told of this one, and where that is the later one, what is held
        of customers here is not to be trusted."""
        before = self.starts.has_restarted
        if self.starts.receive(sender, word, self.now):
            self.words.setdefault(sender, [])
        if self.starts.has_restarted and not before:
            for customer in self.customers.values():
                if customer.heard_us < 0:
                    customer.refill(self.now).forget(self.starts.first_request_us)

    def send(self, job: Job, server: Backend) -> None:
        if not (number := len(job.servers)):
            self.accepted, self.retries = self.accepted + 1, min(RETRY_STORE, self.retries + RETRY_SHARE)
            if self.now >= job.granted_until:
                job.customer.use(job.req.units)
        job.servers.append(server)
        job.out[number] = server.out[(job.req.id, number)] = self.now
        server.connections = max(server.connections, len(server.out))
        job.customer.out, self.out = job.customer.out + 1, self.out + 1
        server.next_us = self.now + self.spacing(server)
        if job.ran_on is None:
            job.ran_on, job.ran_us = server, self.now
        self.actions.append(StartAttempt(job.req.id, server.entry.name, self.time_out(job)))

    def time_out(self, job: Job) -> int:
        """A repeatable attempt is given up while another can still meet the aim."""
        left, mean = job.end_us - self.now, self.mean_us[job.req.class_index]
        early = round(job.latency_objective_us - self.now - 2 * mean)
        last = job.rule.effect is Effect.UNSAFE or len(job.servers) >= self.set.max_attempts
        return max(1, left if last or early < 2 * mean else min(left, early))

    def again(self, job: Job, why: AttemptResult) -> bool:
        """Further attempts live on a small share of first ones, so that they cannot feed an overload."""
        costs = why is not AttemptResult.CONNECT_FAILED
        late = why is AttemptResult.NOT_SENT or self.now + self.mean_us[job.req.class_index] / 2 >= job.end_us
        if late or len(job.servers) >= self.set.max_attempts:
            return False
        if costs and self.further:
            self.further.asked(1.0, self.now)
        if costs and (self.further.refill(self.now) if self.further else self.retries) < 1:
            self.not_again += 1
            return False
        if server := self.choose(job):
            self.retries -= costs
            if self.further:
                self.further.level -= costs
            self.send(job, server)
        elif job.ran_on is None:
            insort(self.held, (-job.value, next(self.serial), job))
        return server is not None or job.ran_on is None

    def on_outcome(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt not in job.out:
            return
        server, job.customer.out, self.out = job.servers[event.attempt], job.customer.out - 1, self.out - 1
        del job.out[event.attempt], server.out[(event.id, event.attempt)]
        server.connections -= event.result in BROKEN and server.connections > 0
        self.learn(job, server, event)
        job.unsent += event.result in NOT_SENT_RESULTS
        job.unrun += event.result in NEVER_RAN_RESULTS
        job.ran_on = job.bound if job.unrun == len(job.servers) else job.ran_on
        if event.result is AttemptResult.OWNED_ELSEWHERE and job.in_quota:  # its units are taken there
            self.spend(job.customer, -job.req.units)
        if event.request_ended or job.over:
            self.drop(job)
        elif not job.out and not self.again(job, event.result):
            self.end(job)

    def learn(self, job: Job, server: Backend, event: AttemptEnded) -> None:
        index, result, took = job.req.class_index, event.result, event.latency_us
        report = event.report or LoadReport()  # busy cores are the signal; a count only ranks servers
        loads = [load for load in (report.util, report.inflight, report.queue) if load is not None]
        self.signals["util"] += [report.util] if report.util is not None else []
        if loads:
            server.load, server.load_at = loads[0], self.now
            self.mean_load += SMOOTH * (loads[0] - self.mean_load)
        long = (
            result is AttemptResult.TIMEOUT and server.heard_us >= self.now - took
        )  # but it answered others
        if result is AttemptResult.OK or long:
            self.fleet.record_answer(server.entry.name, took / job.rule.latency_objective_us)
            self.note_lag(server, took / job.rule.latency_objective_us, 1)
        if result is AttemptResult.OK:
            server.heard_us = self.now
            ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
            server.slowness += SMOOTH * (ratio - server.slowness)
            self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
            if self.set.settles_true_units and event.true_units and job.in_quota:
                job.customer.take(event.true_units - job.req.units)
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.signals["latency"].append(min(1.0, took / job.rule.latency_objective_us))
            self.fleet.record_occupancy(min(1.0, took / job.rule.latency_objective_us))
        if result is AttemptResult.AT_CAPACITY:
            server.avoid_until = max(server.avoid_until, self.now + AVOID_US)
            if self.set.gateway_count > FEW_GATEWAYS:  # as one that drains, and the list is late
                self.fleet.record_failure(server.entry.name, self.now, True)
        elif result in (AttemptResult.MALFORMED, AttemptResult.RESET):
            self.note_broken(server)
        elif not long and result not in (
            AttemptResult.CANCELLED,
            AttemptResult.NOT_SENT,
            AttemptResult.OWNED_ELSEWHERE,
        ):
            if result is not AttemptResult.OK:
                nobody = result is AttemptResult.CONNECT_FAILED
                self.fleet.record_failure(server.entry.name, self.now, nobody)
            self.note_result(server, result is AttemptResult.OK, self.now - took)

    def end(self, job: Job, wait_us: int = NEVER) -> None:
        """Its client is told when to come again: as late as it would, unless said otherwise."""
        wait = min(wait_us, self.set.max_retry_after_us)
        self.actions.append(RejectRequest(job.req.id, wait) if job.may_refuse() else FailRequest(job.req.id))
        self.drop(job)

    def on_end(self, event: ClientDisconnected | StreamStarted) -> None:
        if event.id in self.jobs:
            self.drop(self.jobs[event.id])

    def drop(self, job: Job) -> None:
        if job.in_quota and not job.servers and not job.over:
            self.spend(job.customer, -job.req.units)
        calls_off, job.over = self.set.may_cancel and not job.over and not job.rule.streamed, True
        self.actions += [CancelAttempt(job.req.id, number) for number in job.out if calls_off]
        if not job.out:
            self.jobs.pop(job.req.id, None)
