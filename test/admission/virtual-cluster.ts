/** Simulation of agents, entries, a store and a network in virtual time, around the state machines of admission. */
import * as demandQueues from "../../src/admission/demand-queue.js";
import type * as messages from "../../src/admission/messages.js";
import * as ownerships from "../../src/admission/ownership.js";
import type * as types from "../../src/admission/types.js";
import type * as incarnations from "../../src/core/incarnation.js";
import type * as manifest from "../../src/manifest/types.js";

/** `isolate` cuts a process off completely; `split` cuts an agent off from the other agents and the store only. */
export type FaultKind =
    | "crash"
    | "pause"
    | "isolate"
    | "split"
    | "drain"
    | "store-outage"
    | "store-loses-answers"
    | "slow-network";

export interface Fault {
    readonly kind: FaultKind;
    readonly at: number;
    /** Index of the process; agents come before entries. */
    readonly target: number;
    readonly durationMs: number;
}

export interface Scenario {
    readonly seed: number;
    readonly agents: number;
    readonly entries: number;
    readonly rates: ReadonlyMap<string, manifest.Rate>;
    /** Arrivals as a multiple of the rate; with at most 1 they conform to rate and burst. */
    readonly load: number;
    readonly durationMs: number;
    readonly faults: readonly Fault[];
    /** A later configuration; each process adopts it up to `spreadMs` after `at`. */
    readonly change?: {
        readonly at: number;
        readonly spreadMs: number;
        readonly rates: ReadonlyMap<string, manifest.Rate>;
    };
}

export interface Result {
    /** Times of the admissions by customer, in ascending order. */
    readonly admissions: ReadonlyMap<string, readonly number[]>;
    readonly refusals: readonly { readonly customer: string; readonly at: number; readonly kind: string; }[];
    readonly longestWaitMs: number;
    readonly takeovers: number;
}

const ADMISSION_WAIT_MS = 3000;
const TICK_MS = 50;
const WARM_UP_MS = 10_000;

/** Time of the first possible arrival; the buckets, which start empty, are full by then. */
export const FIRST_ARRIVAL_MS = WARM_UP_MS;

interface Process {
    readonly index: number;
    readonly address: string;
    readonly clockOffset: number;
    boot: number;
    alive: boolean;
    pausedUntil: number;
    isolatedUntil: number;
    splitUntil: number;
    rates: ReadonlyMap<string, manifest.Rate>;
}

interface Agent extends Process {
    ownership: ownerships.Ownership;
    draining: boolean;
}

interface Entry extends Process {
    queue: demandQueues.DemandQueue;
    record: types.HolderRecord | undefined;
    readonly arrivals: Map<number, { readonly customer: string; readonly at: number; }>;
}

interface ScheduledEvent {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

export class VirtualCluster {
    private readonly heap: ScheduledEvent[] = [];
    private lastOrder = 0;
    private now = 0;
    private readonly random: () => number;
    private readonly agents: Agent[] = [];
    private readonly entries: Entry[] = [];
    private storedRecord: types.HolderRecord | undefined;
    private outageUntil = 0;
    private losesAnswersUntil = 0;
    private slowUntil = 0;
    private lastRequest = 0;
    private lastCallId = 0;
    private readonly pendingCalls = new Map<number, (reply: messages.AcquireReply) => void>();
    private readonly admissions = new Map<string, number[]>();
    private readonly refusals: { customer: string; at: number; kind: string; }[] = [];
    private longestWaitMs = 0;
    private takeovers = 0;

    constructor(private readonly scenario: Scenario) {
        this.random = randomGenerator(scenario.seed);
    }

    run(): Result {
        for (let index = 0; index < this.scenario.agents; index++) {
            this.agents.push(this.createAgent(index));
        }
        for (let index = 0; index < this.scenario.entries; index++) {
            this.entries.push(this.createEntry(this.scenario.agents + index));
        }
        this.agents.forEach(agent => this.tickAgent(agent));
        this.scenario.rates.forEach((rate, customer) => this.scheduleArrivals(customer, rate));
        this.scenario.faults.forEach(fault => this.at(FIRST_ARRIVAL_MS + fault.at, () => this.inject(fault)));
        this.scheduleChange();
        const end = FIRST_ARRIVAL_MS + this.scenario.durationMs;
        while (this.heap.length > 0) {
            const next = this.pop();
            if (next.at > end) {
                break;
            }
            this.now = next.at;
            next.run();
        }
        const { admissions, refusals, longestWaitMs, takeovers } = this;
        return { admissions, refusals, longestWaitMs, takeovers };
    }

    private createAgent(index: number): Agent {
        const agent: Agent = {
            ...this.createProcess(index),
            ownership: undefined as never,
            draining: false,
        };
        agent.ownership = this.createOwnership(agent);
        return agent;
    }

    private createEntry(index: number): Entry {
        return {
            ...this.createProcess(index),
            queue: new demandQueues.DemandQueue(),
            record: undefined,
            arrivals: new Map(),
        };
    }

    private createProcess(index: number): Process {
        return {
            index,
            address: `process-${index}`,
            clockOffset: Math.floor(this.random() * 1e6),
            boot: 1,
            alive: true,
            pausedUntil: 0,
            isolatedUntil: 0,
            splitUntil: 0,
            rates: this.scenario.rates,
        };
    }

    private createOwnership(agent: Agent): ownerships.Ownership {
        const self = this.incarnation(agent);
        // The member list is stale: a candidate may be dead, or listed with its incarnation before a restart.
        const candidates = () => this.agents.filter(other => !other.draining).map(other => this.incarnation(other));
        const processIndex = (address: string) => Number(address.split("-")[1]);
        return new ownerships.Ownership(0, self, {
            nextStandby: excluded => {
                const others = candidates().filter(other =>
                    other.address !== self.address && !excluded.has(other.address)
                );
                const chosen = others.sort((left, right) => processIndex(left.address) - processIndex(right.address))
                    .at(0);
                const stale = this.random() < 0.1 && chosen !== undefined;
                return stale ? { ...chosen, boot: String(Number(chosen.boot) - 1) } : chosen;
            },
            takeoverRank: excluded => {
                const addresses = this.agents.map(other => other.address).filter(address => !excluded.has(address));
                return addresses.indexOf(self.address);
            },
        }, agent.rates);
    }

    private incarnation(process: Process): incarnations.Incarnation {
        return { address: process.address, boot: String(process.boot) };
    }

    private clock(process: Process): number {
        return this.now + process.clockOffset;
    }

    /** Runs once the process is not paused, and only if it has not restarted since. */
    private deliver(process: Process, boot: number, run: () => void): void {
        if (!process.alive || process.boot !== boot) {
            return;
        }
        if (this.now < process.pausedUntil) {
            this.at(process.pausedUntil, () => this.deliver(process, boot, run));
            return;
        }
        run();
    }

    /** Sends a message between two processes; `lost` runs if it can't arrive. */
    private send(from: Process, to: Process, run: () => void, lost: () => void = () => undefined): void {
        const boot = to.boot;
        const betweenAgents = "ownership" in from && "ownership" in to;
        const split = betweenAgents && this.now < Math.max(from.splitUntil, to.splitUntil);
        const isCut = split || this.now < from.isolatedUntil || this.now < to.isolatedUntil;
        if (isCut || !to.alive) {
            this.after(isCut ? 100 : 1, lost);
            return;
        }
        this.after(this.delay(), () => this.deliver(to, boot, run));
    }

    private isCutOff(process: Process): boolean {
        return this.now < Math.max(process.isolatedUntil, process.splitUntil);
    }

    private delay(): number {
        const slow = this.now < this.slowUntil && this.random() < 0.3;
        return 0.5 + this.random() * (slow ? 400 : 3);
    }

    private tickAgent(agent: Agent): void {
        const boot = agent.boot;
        this.deliver(agent, boot, () => {
            if (agent.draining) {
                this.perform(agent, agent.ownership.drain(this.clock(agent)));
            }
            this.perform(agent, agent.ownership.tick(this.clock(agent)));
            if (this.random() < 0.1) {
                this.readStore(agent);
            }
        });
        if (agent.boot === boot) {
            this.after(TICK_MS * (0.8 + this.random() * 0.4), () => agent.boot === boot && this.tickAgent(agent));
        }
    }

    private perform(agent: Agent, actions: readonly messages.Action[]): void {
        actions.forEach(action => this.performOne(agent, action));
    }

    private performOne(agent: Agent, action: messages.Action): void {
        switch (action.kind) {
            case "reply":
                this.pendingCalls.get(action.callId)?.(action.reply);
                this.pendingCalls.delete(action.callId);
                return;
            case "send-renewal":
                this.sendRenewal(agent, action.to, action.renewal);
                return;
            case "probe":
                this.probe(agent, action.incarnation);
                return;
            case "write":
                this.write(agent, action.record, action.expectedEpoch);
                return;
            case "refresh":
                this.readStore(agent);
                return;
            case "log":
                this.takeovers += action.event === "budget-ownership-taken" ? 1 : 0;
        }
    }

    private sendRenewal(agent: Agent, to: incarnations.Incarnation, renewal: messages.Renewal): void {
        const boot = agent.boot;
        const target = this.agents.find(other => other.address === to.address)!;
        const finish = (reply: messages.RenewalReply | undefined) =>
            this.deliver(agent, boot, () => {
                const now = this.clock(agent);
                this.perform(agent, agent.ownership.renewalFinished(renewal.epoch, renewal.sequence, reply, now));
            });
        this.send(agent, target, () => {
            const { reply, actions } = target.ownership.receiveRenewal(renewal, this.clock(target));
            this.perform(target, actions);
            this.send(target, agent, () => finish(reply), () => finish(undefined));
        }, () => finish(undefined));
    }

    private probe(agent: Agent, incarnation: incarnations.Incarnation): void {
        const boot = agent.boot;
        const target = this.agents.find(other => other.address === incarnation.address)!;
        this.after(this.delay(), () => {
            const dead = !target.alive || String(target.boot) !== incarnation.boot;
            if (dead && !this.isCutOff(agent) && !this.isCutOff(target)) {
                this.after(
                    this.delay(),
                    () =>
                        this.deliver(
                            agent,
                            boot,
                            () => this.perform(agent, agent.ownership.provedDead(incarnation, this.clock(agent))),
                        ),
                );
            }
        });
    }

    /** A write takes effect even if its sender has crashed or has been notified that the outcome is unknown. */
    private write(agent: Agent, record: types.HolderRecord, expectedEpoch: number): void {
        const boot = agent.boot;
        const finish = (result: messages.WriteResult) =>
            this.after(
                this.delay(),
                () =>
                    this.deliver(agent, boot, () =>
                        this.perform(agent, agent.ownership.writeFinished(record, result, this.clock(agent)))),
            );
        if (this.now < this.outageUntil || this.isCutOff(agent)) {
            finish({ kind: "unavailable" });
            return;
        }
        const lost = this.now < this.losesAnswersUntil && this.random() < 0.7;
        this.after(lost ? this.random() * 300 : this.delay(), () => {
            const result = this.apply(record, expectedEpoch);
            if (!lost) {
                finish(result);
            }
        });
        if (lost) {
            finish({ kind: "unconfirmed" });
        }
    }

    private apply(record: types.HolderRecord, expectedEpoch: number): messages.WriteResult {
        if (this.storedRecord !== undefined && ownerships.sameHolders(this.storedRecord, record)) {
            return { kind: "recorded" };
        }
        if (this.storedRecord !== undefined && this.storedRecord.epoch > expectedEpoch) {
            return { kind: "superseded", record: this.storedRecord };
        }
        this.storedRecord = record;
        [...this.agents, ...this.entries].forEach(process => this.announce(process));
        return { kind: "recorded" };
    }

    private announce(process: Agent | Entry): void {
        const boot = process.boot;
        const record = this.storedRecord;
        const isolated = Math.max(0, Math.max(process.isolatedUntil, process.splitUntil) - this.now);
        this.after(
            isolated + this.random() * 60,
            () => this.deliver(process, boot, () => this.adoptRecord(process, record)),
        );
    }

    private adoptRecord(process: Agent | Entry, record: types.HolderRecord | undefined): void {
        if ("ownership" in process) {
            this.perform(process, process.ownership.adopt(record, this.clock(process)));
        }
        else if (record !== undefined && record.epoch > (process.record?.epoch ?? 0)) {
            process.record = record;
            this.advance(process);
        }
    }

    private readStore(process: Agent | Entry): void {
        if (this.now < this.outageUntil || this.isCutOff(process)) {
            return;
        }
        const boot = process.boot;
        const record = this.storedRecord;
        this.after(this.delay(), () => this.deliver(process, boot, () => this.adoptRecord(process, record)));
    }

    private scheduleArrivals(customer: string, rate: manifest.Rate): void {
        const perMs = rate.requestsPerSecond / 1000;
        const end = FIRST_ARRIVAL_MS + this.scenario.durationMs;
        let tokens = rate.burst;
        let time = FIRST_ARRIVAL_MS;
        while (time < end) {
            const gap = this.random() < 0.2 ? 0.1 : -Math.log(1 - this.random()) / (perMs * this.scenario.load * 1.5);
            const wait = this.scenario.load <= 1 ? Math.max(gap, (1 - tokens) / perMs) : gap;
            time += wait;
            tokens = Math.min(rate.burst, tokens + perMs * wait) - 1;
            const entry = Math.floor(this.random() * this.scenario.entries);
            this.at(time, () => this.arrive(this.entries[entry], customer));
        }
    }

    private arrive(entry: Entry, customer: string): void {
        this.deliver(entry, entry.boot, () => {
            const request = ++this.lastRequest;
            const now = this.clock(entry);
            entry.arrivals.set(request, { customer, at: this.now });
            this.applyDecisions(entry, entry.queue.add(customer, request, now, now + ADMISSION_WAIT_MS));
            this.advance(entry);
        });
    }

    private advance(entry: Entry): void {
        const now = this.clock(entry);
        this.applyDecisions(entry, entry.queue.expire(entry.record, now));
        const call = entry.queue.nextCall(entry.record, now);
        if (call !== undefined) {
            this.sendCall(entry, call);
        }
        const wakeAt = entry.queue.wakeAt();
        if (wakeAt !== Infinity) {
            const boot = entry.boot;
            this.after(Math.max(1, wakeAt - now), () => this.deliver(entry, boot, () => this.wake(entry)));
        }
    }

    private wake(entry: Entry): void {
        const wakeAt = entry.queue.wakeAt();
        if (wakeAt <= this.clock(entry)) {
            this.advance(entry);
        }
    }

    private sendCall(entry: Entry, call: demandQueues.Call): void {
        const boot = entry.boot;
        const target = this.agents.find(agent => agent.address === call.address)!;
        const finish = (reply: messages.AcquireReply | undefined) =>
            this.deliver(entry, boot, () => {
                this.applyDecisions(entry, entry.queue.callFinished(call, reply, entry.record, this.clock(entry)));
                this.advance(entry);
            });
        this.send(entry, target, () => {
            const id = ++this.lastCallId;
            const targetBoot = target.boot;
            this.pendingCalls.set(id, reply => {
                if (target.boot === targetBoot) {
                    this.send(target, entry, () => finish(reply));
                }
            });
            this.perform(target, target.ownership.acquire(id, call.epoch, call.demands, this.clock(target)));
        }, () => finish(undefined));
    }

    private applyDecisions(entry: Entry, decisions: readonly demandQueues.Decision[]): void {
        for (const { request, outcome } of decisions) {
            const { customer, at } = entry.arrivals.get(request)!;
            entry.arrivals.delete(request);
            this.longestWaitMs = Math.max(this.longestWaitMs, this.now - at);
            if (outcome.ok) {
                const times = this.admissions.get(customer) ?? [];
                times.push(this.now);
                this.admissions.set(customer, times);
            }
            else {
                this.refusals.push({ customer, at: this.now - FIRST_ARRIVAL_MS, kind: outcome.failure.kind });
            }
        }
    }

    private scheduleChange(): void {
        const change = this.scenario.change;
        if (change === undefined) {
            return;
        }
        for (const agent of this.agents) {
            this.at(FIRST_ARRIVAL_MS + change.at + this.random() * change.spreadMs, () => {
                agent.rates = change.rates;
                this.deliver(
                    agent,
                    agent.boot,
                    () => this.perform(agent, agent.ownership.setRates(change.rates, this.clock(agent))),
                );
            });
        }
    }

    private inject(fault: Fault): void {
        const processes: readonly (Agent | Entry)[] = [...this.agents, ...this.entries];
        const target = processes[fault.target % processes.length];
        const until = this.now + fault.durationMs;
        switch (fault.kind) {
            case "pause":
                target.pausedUntil = Math.max(target.pausedUntil, until);
                return;
            case "isolate":
                target.isolatedUntil = Math.max(target.isolatedUntil, until);
                return;
            case "split":
                target.splitUntil = Math.max(target.splitUntil, until);
                return;
            case "store-outage":
                this.outageUntil = Math.max(this.outageUntil, until);
                return;
            case "store-loses-answers":
                this.losesAnswersUntil = Math.max(this.losesAnswersUntil, until);
                return;
            case "slow-network":
                this.slowUntil = Math.max(this.slowUntil, until);
                return;
            case "drain":
                this.drain(this.agents[fault.target % this.agents.length], until);
                return;
            case "crash":
                if ("ownership" in target) {
                    this.crash(target, until);
                }
        }
    }

    private drain(agent: Agent, until: number): void {
        agent.draining = true;
        this.at(until, () => this.crash(agent, until + 1));
    }

    private crash(agent: Agent, until: number): void {
        if (!agent.alive) {
            return;
        }
        agent.alive = false;
        this.at(until, () => {
            agent.alive = true;
            agent.boot++;
            agent.pausedUntil = 0;
            agent.draining = false;
            agent.ownership = this.createOwnership(agent);
            this.tickAgent(agent);
        });
    }

    private after(delay: number, run: () => void): void {
        this.at(this.now + delay, run);
    }

    private at(time: number, run: () => void): void {
        const heap = this.heap;
        heap.push({ at: time, order: this.lastOrder++, run });
        let index = heap.length - 1;
        while (index > 0 && isBefore(heap[index], heap[(index - 1) >> 1])) {
            swap(heap, index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    private pop(): ScheduledEvent {
        const heap = this.heap;
        const first = heap[0];
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            siftDown(heap);
        }
        return first;
    }
}

/** Largest excess of the admissions in any window over `rate x window + burst`; at most 0 when the bound holds. */
export function largestExcess(times: readonly number[], rate: manifest.Rate): number {
    const perMs = rate.requestsPerSecond / 1000;
    let lowest = Infinity;
    let highest = -Infinity;
    [...times].sort((left, right) => left - right).forEach((time, index) => {
        const position = index - perMs * time;
        lowest = Math.min(lowest, position);
        highest = Math.max(highest, position - lowest + 1 - rate.burst);
    });
    return highest;
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}

function swap(heap: ScheduledEvent[], left: number, right: number): void {
    [heap[left], heap[right]] = [heap[right], heap[left]];
}

function siftDown(heap: ScheduledEvent[]): void {
    let index = 0;
    for (;;) {
        const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
        const smallest = children.reduce((best, child) => isBefore(heap[child], heap[best]) ? child : best, index);
        if (smallest === index) {
            return;
        }
        swap(heap, index, smallest);
        index = smallest;
    }
}

function randomGenerator(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
}
