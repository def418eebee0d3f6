/** Agents, an entry, callers, a store and a booking service in memory, with faults drawn from a seed. */
import * as catalogue from "../../src/catalogue/failures.js";
import type * as failures from "../../src/core/failure.js";
import type * as incarnations from "../../src/core/incarnation.js";
import * as outcomes from "../../src/core/outcome.js";
import * as decisions from "../../src/idempotency/attempt-decision.js";
import * as ledgers from "../../src/idempotency/call-ledger.js";
import type * as settlement from "../../src/idempotency/settlement.js";
import * as journals from "../../src/logging/journal.js";
import type * as manifest from "../../src/manifest/types.js";
import type * as membership from "../../src/membership/types.js";
import type * as httpCalls from "../../src/object-api/http-call.js";
import type * as objectApi from "../../src/object-api/types.js";
import * as virtual from "../support/virtual-time.js";

const AGENTS = 3;
const KEYS = 2;
/** Faults occur until this virtual time in milliseconds. */
const FAULTS_END_MS = 40_000;
const END_MS = 400_000;
const DEADLINE_MS = 10_000;
const SETTLE_AFTER_MS = 30_000;
const STORE_TIMEOUT_MS = 2000;
const TICK_MS = 5000;
/** Exceeds the time in which another agent can settle the claim of a paused one. */
const LONGEST_PAUSE_MS = 120_000;
/** The service makes a call visible to its lookup within `settle_after_ms`. */
const LONGEST_SERVICE_DELAY_MS = 25_000;

const ROUTE: manifest.Route = {
    name: "bookings",
    path: "/bookings",
    methods: ["POST"],
    service: "booking",
    idempotent: false,
    open: false,
    deadlineMs: DEADLINE_MS,
    lookupPath: "/bookings/lookup/{key}",
    settleAfterMs: SETTLE_AFTER_MS,
};

/** What the schedules covered, so that a test can tell that the faults occurred. */
export interface Coverage {
    runs: number;
    notRun: number;
    unknown: number;
    replayed: number;
    settledNotRun: number;
    crashes: number;
}

export const NO_COVERAGE: Readonly<Coverage> = {
    runs: 0,
    notRun: 0,
    unknown: 0,
    replayed: 0,
    settledNotRun: 0,
    crashes: 0,
};

export interface Report {
    readonly violations: readonly string[];
    readonly coverage: Coverage;
}

interface Attempt {
    readonly key: string;
    readonly requestId: string;
    readonly attempt: number;
}

/** One run of an agent process. */
class Process {
    isDead = false;
    pausedSince = 0;
    pausedUntil = 0;
    readonly death: Promise<void>;
    private die: () => void = () => undefined;

    constructor(readonly incarnation: incarnations.Incarnation, private readonly time: virtual.VirtualTime) {
        this.death = new Promise(resolve => {
            this.die = resolve;
        });
    }

    kill(): void {
        this.isDead = true;
        this.die();
    }

    pause(durationMs: number): void {
        this.pausedSince = this.time.now();
        this.pausedUntil = this.pausedSince + durationMs;
    }

    /** Continues after a pause; never after a crash. */
    async gate<Value>(promise: Promise<Value>): Promise<Value> {
        const value = await promise;
        while (!this.isDead && this.time.now() < this.pausedUntil) {
            await this.time.sleep(this.pausedUntil - this.time.now());
        }
        return this.isDead ? new Promise<Value>(() => undefined) : value;
    }
}

class World {
    readonly violations: string[] = [];
    readonly coverage: Coverage = { ...NO_COVERAGE };
    readonly time: virtual.VirtualTime;
    private readonly random: () => number;
    private readonly objects = new Map<string, objectApi.StoredObject>();
    private revision = 0;
    private storeDownUntil = 0;
    private serviceDownUntil = 0;
    private readonly runs = new Map<string, Attempt[]>();
    private readonly agents: { process: Process; ledger: ledgers.CallLedger; }[] = [];
    private readonly active = new Map<string, Attempt>();
    private readonly saidNotRun = new Set<string>();
    private readonly dropsPaused: boolean;
    private unfinished = KEYS;

    constructor(private readonly seed: number) {
        this.time = new virtual.VirtualTime(seed);
        this.random = this.time.random;
        this.dropsPaused = this.chance(0.7);
    }

    async simulate(): Promise<Report> {
        for (let index = 0; index < AGENTS; index++) {
            this.agents.push(this.boot(index));
        }
        void this.injectFaults();
        for (let index = 0; index < KEYS; index++) {
            void this.caller(`key-${index}`);
        }
        await this.time.run(END_MS, () => this.unfinished === 0);
        for (const [key, attempts] of this.runs) {
            if (attempts.length > 1) {
                this.violate(`${key} ran ${attempts.length} times`);
            }
        }
        if (this.unfinished > 0) {
            this.violate(`${this.unfinished} requests not settled`);
        }
        this.agents.forEach(agent => void agent.ledger[Symbol.asyncDispose]());
        return { violations: this.violations, coverage: this.coverage };
    }

    private violate(text: string): void {
        this.violations.push(`seed ${this.seed}: ${text}`);
    }

    private chance(probability: number): boolean {
        return this.random() < probability;
    }

    private between(low: number, high: number): number {
        return low + this.random() * (high - low);
    }

    private get faulty(): boolean {
        return this.time.now() < FAULTS_END_MS;
    }

    private fault(probability: number): boolean {
        return this.faulty && this.chance(probability);
    }

    private boot(index: number): { process: Process; ledger: ledgers.CallLedger; } {
        const self = { address: `10.0.0.${index}:1`, boot: this.time.identifier() };
        const process = new Process(self, this.time);
        const time = {
            now: () => this.time.now(),
            wallTime: () => this.time.wallTime(),
            random: () => this.random(),
            identifier: () => this.time.identifier(),
            sleep: (durationMs: number, signal?: AbortSignal) => process.gate(this.time.sleep(durationMs, signal)),
        };
        const ledger = new ledgers.CallLedger({
            self,
            store: this.store(process),
            time,
            journal: journals.silentJournal,
            liveness: { probe: incarnation => process.gate(this.probe(incarnation)) },
            service: { lookup: (_route, key) => process.gate(this.serviceLookup(key)) },
        });
        void this.tick(process, ledger);
        return { process, ledger };
    }

    private async tick(process: Process, ledger: ledgers.CallLedger): Promise<void> {
        while (!process.isDead) {
            await process.gate(this.time.sleep(TICK_MS));
            await ledger.step(this.time.now());
        }
    }

    private async injectFaults(): Promise<void> {
        while (this.faulty) {
            await this.time.sleep(this.between(50, 6000));
            const index = Math.floor(this.random() * AGENTS);
            const { process } = this.agents[index];
            const kind = Math.floor(this.random() * 5);
            if (kind <= 1 && !process.isDead) {
                void this.crash(index);
            }
            else if (kind === 2) {
                process.pause(this.between(100, LONGEST_PAUSE_MS));
            }
            else if (kind === 3) {
                this.storeDownUntil = this.time.now() + this.between(100, 15_000);
            }
            else {
                this.serviceDownUntil = this.time.now() + this.between(100, 5000);
            }
        }
        this.storeDownUntil = 0;
        this.serviceDownUntil = 0;
    }

    /** Pauses at the moments that matter most: after a claim was written and before the call is sent. */
    private async mayPause(process: Process): Promise<void> {
        if (this.fault(0.02)) {
            process.pause(this.between(100, LONGEST_PAUSE_MS));
        }
        await process.gate(Promise.resolve());
    }

    private async crash(index: number): Promise<void> {
        const { process, ledger } = this.agents[index];
        this.coverage.crashes++;
        process.kill();
        void ledger[Symbol.asyncDispose]();
        await this.time.sleep(this.between(10, 8000));
        this.agents[index] = this.boot(index);
    }

    /** A paused process counts as dead when the instance list has dropped it. */
    private async probe(incarnation: incarnations.Incarnation): Promise<membership.Liveness> {
        await this.time.sleep(1);
        const current = this.agents.find(agent => agent.process.incarnation.address === incarnation.address);
        if (current === undefined || current.process.isDead || current.process.incarnation.boot !== incarnation.boot) {
            return "dead";
        }
        const isPaused = this.time.now() < current.process.pausedUntil;
        if (isPaused) {
            const longPause = this.time.now() - current.process.pausedSince > 3000;
            return this.dropsPaused && longPause ? "dead" : "unknown";
        }
        return this.fault(0.1) ? "unknown" : "alive";
    }

    private store(process: Process): objectApi.ObjectStore {
        return {
            get: name => process.gate(this.get(name)),
            put: (name, value, version) =>
                process.gate(
                    this.put(name, value, version).then(async result => {
                        await this.mayPause(process);
                        return result;
                    }),
                ),
            list: async () => outcomes.succeed([]),
            watch: async () => outcomes.succeed({ revision: 0, objects: [] }),
        };
    }

    private get storeIsDown(): boolean {
        return this.time.now() < this.storeDownUntil;
    }

    private async get(name: string): Promise<outcomes.Outcome<objectApi.StoredObject | undefined>> {
        await this.time.sleep(this.between(0.5, 3));
        if (this.storeIsDown || this.fault(0.03)) {
            await this.time.sleep(this.between(0, 200));
            return outcomes.fail("store-unavailable", "fault");
        }
        const object = this.objects.get(name);
        await this.time.sleep(this.between(0.5, 3));
        return outcomes.succeed(object);
    }

    /** A write can be refused, be lost, take effect without an answer, or take effect long after its answer was lost. */
    private async put(name: string, value: string, expected: number): Promise<outcomes.Outcome<number>> {
        await this.time.sleep(this.between(0.5, 3));
        const lost = outcomes.fail("store-write-unconfirmed", name);
        if (this.storeIsDown) {
            await this.time.sleep(this.between(0, 200));
            return this.chance(0.5) ? lost : outcomes.fail("store-unavailable", "fault");
        }
        if (this.fault(0.1)) {
            void this.time.sleep(this.between(0, 20_000)).then(() => this.write(name, value, expected));
            await this.time.sleep(this.between(0, STORE_TIMEOUT_MS));
            return lost;
        }
        const version = this.write(name, value, expected);
        await this.time.sleep(this.between(0.5, 3));
        if (this.fault(0.1)) {
            return lost;
        }
        return version === undefined ? outcomes.fail("store-conflict", name) : outcomes.succeed(version);
    }

    private write(name: string, value: string, expected: number): number | undefined {
        if ((this.objects.get(name)?.version ?? 0) !== expected) {
            return undefined;
        }
        this.revision++;
        this.objects.set(name, { name, version: this.revision, value });
        return this.revision;
    }

    private get serviceIsDown(): boolean {
        return this.time.now() < this.serviceDownUntil;
    }

    private async serviceCall(
        process: Process,
        attempt: Attempt,
        permit: ledgers.Permit,
    ): Promise<httpCalls.HttpResult> {
        await this.time.sleep(this.between(0, 5));
        if (this.serviceIsDown) {
            return { kind: "not-sent", detail: "ECONNREFUSED" };
        }
        await this.mayPause(process);
        if (!permit.mayStart()) {
            return { kind: "not-sent", detail: "too late" };
        }
        if (this.fault(0.1)) {
            return this.crashService("before");
        }
        if (this.fault(0.1)) {
            void this.time.sleep(this.between(0, LONGEST_SERVICE_DELAY_MS)).then(() => this.book(attempt, permit));
            await this.time.sleep(this.between(0, permit.timeoutMs));
            return { kind: "lost", detail: "slow" };
        }
        await this.time.sleep(this.between(1, 50));
        const body = this.book(attempt, permit);
        if (this.fault(0.1)) {
            return this.crashService("after");
        }
        await this.time.sleep(this.between(0, 5));
        return this.fault(0.1)
            ? { kind: "lost", detail: "answer" }
            : { kind: "answered", response: { status: 201, headers: {}, body } };
    }

    private crashService(moment: string): httpCalls.HttpResult {
        this.serviceDownUntil = this.time.now() + this.between(10, 3000);
        return { kind: "lost", detail: moment };
    }

    private book(attempt: Attempt, permit: ledgers.Permit): Buffer {
        this.coverage.runs++;
        const attempts = this.runs.get(permit.serviceKey) ?? [];
        this.runs.set(permit.serviceKey, [...attempts, attempt]);
        if (this.saidNotRun.has(attempt.requestId)) {
            this.violate(`${attempt.requestId} ran after its not-run`);
        }
        return Buffer.from(attempt.key);
    }

    private async serviceLookup(serviceKey: string): Promise<settlement.ServiceAnswer> {
        await this.time.sleep(this.between(1, 10));
        if (this.serviceIsDown || this.fault(0.1)) {
            return { kind: "no-answer", detail: "fault" };
        }
        const run = this.runs.get(serviceKey)?.[0];
        return run === undefined
            ? { kind: "absent" }
            : { kind: "ran", response: { status: 200, headers: {}, body: Buffer.from(run.key) } };
    }

    /** Sends the request again until it is done; gives up waiting for some answers early. */
    private async caller(key: string): Promise<void> {
        await this.time.sleep(this.between(0, 3000));
        for (let number = 0;; number++) {
            const requestId = `${key}/request-${number}`;
            const origin = number === 0 && this.chance(0.5) ? "generated" : "caller";
            const answer = this.entry(key, requestId, origin);
            const patience = this.fault(0.2) ? this.time.sleep(this.between(10, 8000)) : undefined;
            const outcome = await (patience === undefined ? answer : Promise.race([answer, patience]));
            if (outcome?.ok) {
                break;
            }
            await this.time.sleep(this.between(1, 4000));
        }
        if (this.runsOf(key) !== 1) {
            this.violate(`${key} is done but ran ${this.runsOf(key)} times`);
        }
        this.unfinished--;
    }

    private runsOf(key: string): number {
        return [...this.runs.values()].flat().filter(attempt => attempt.key === key).length;
    }

    private async entry(
        key: string,
        requestId: string,
        keyOrigin: "caller" | "generated",
    ): Promise<outcomes.Outcome<true>> {
        const deadline = this.time.now() + DEADLINE_MS;
        const first = Math.floor(this.random() * AGENTS);
        let history = decisions.initialHistory(keyOrigin);
        let lookUp = false;
        for (let attempt = 0;; attempt++) {
            const index = (first + attempt) % AGENTS;
            const end = lookUp
                ? await this.lookUp(index, key, requestId, deadline)
                : await this.attempt(index, { key, requestId, attempt }, deadline);
            const step = decisions.decide(history, end, {
                remainingMs: deadline - this.time.now(),
                otherAgents: AGENTS - 1 - attempt,
                mayRetry: this.chance(0.7),
            });
            history = step.history;
            if (step.decision.kind === "deliver") {
                return outcomes.succeed(true);
            }
            if (step.decision.kind === "refuse") {
                this.checkRefusal(key, requestId, step.decision.failure);
                return { ok: false, failure: step.decision.failure };
            }
            lookUp = step.decision.kind === "lookup";
        }
    }

    /** A concurrent request with the same key can run at any moment, so a `not-run` is judged without one. */
    private checkRefusal(key: string, requestId: string, failure: failures.Failure): void {
        if (catalogue.failures[failure.kind].execution !== "not-run") {
            this.coverage.unknown++;
            return;
        }
        this.coverage.notRun++;
        this.coverage.settledNotRun += failure.kind === "earlier-call-not-run" ? 1 : 0;
        this.saidNotRun.add(requestId);
        const hasOther = [...this.active.values()].some(other => other.key === key && other.requestId !== requestId);
        if (this.runsOf(key) > 0 && !hasOther) {
            this.violate(`${requestId} was answered ${failure.kind} although it ran`);
        }
    }

    private async attempt(index: number, attempt: Attempt, deadline: number): Promise<decisions.AttemptEnd> {
        await this.time.sleep(this.between(0.5, 2));
        const { process, ledger } = this.agents[index];
        if (process.isDead) {
            return { kind: "not-sent", failure: { kind: "peer-unreachable", detail: "" } };
        }
        const lost: decisions.AttemptEnd = { kind: "lost", failure: { kind: "peer-connection-lost", detail: "" } };
        const id = idOf(attempt, process);
        this.active.set(id, attempt);
        const abort = new AbortController();
        const delay = this.fault(0.1) ? this.between(0, 9000) : 0;
        const work = process.gate(this.time.sleep(delay)).then(() =>
            process.gate(ledger.run({
                customer: "anna",
                route: ROUTE,
                key: attempt.key,
                requestId: attempt.requestId,
                attempt: attempt.attempt,
                bodyHash: "body",
                // The request carries the remaining time, so a delayed request extends its own deadline.
                deadline: this.time.now() + Math.max(0, deadline - this.time.now() + delay),
                signal: abort.signal,
            }, permit => process.gate(this.serviceCall(process, attempt, permit))))
        );
        void work.then(() => this.active.delete(id));
        const breaks = this.fault(0.15) ? this.time.sleep(this.between(1, 5000)) : undefined;
        const end = await Promise.race([
            work.then(outcome => this.ended(outcome, attempt.key)),
            this.time.sleep(Math.max(0, deadline - this.time.now())).then(() => lost),
            process.death.then(() => lost),
            ...(breaks === undefined ? [] : [breaks.then(() => lost)]),
        ]);
        if (end === lost && this.chance(0.5)) {
            abort.abort();
        }
        return end;
    }

    private ended(outcome: outcomes.Outcome<ledgers.Answer>, key: string): decisions.AttemptEnd {
        if (!outcome.ok) {
            return { kind: "refused", failure: outcome.failure };
        }
        this.coverage.replayed += outcome.value.replayed ? 1 : 0;
        if (outcome.value.response.body.toString() !== key) {
            this.violate(`${key} got the response of another call`);
        }
        return { kind: "answered" };
    }

    private async lookUp(
        index: number,
        key: string,
        requestId: string,
        deadline: number,
    ): Promise<decisions.AttemptEnd> {
        const { process, ledger } = this.agents[index];
        const expired = this.time.sleep(Math.max(0, deadline - this.time.now())).then(() => undefined);
        const work = process.gate(ledger.lookup({ customer: "anna", route: ROUTE, key, requestId, deadline }));
        const outcome = process.isDead ? undefined : await Promise.race([work, expired]);
        if (!outcome?.ok) {
            return { kind: "looked-up", state: "no-answer" };
        }
        return { kind: "looked-up", state: outcome.value.state };
    }
}

function idOf(attempt: Attempt, process: Process): string {
    return `${attempt.requestId}/${attempt.attempt}@${process.incarnation.boot}`;
}

export function simulate(seed: number): Promise<Report> {
    return new World(seed).simulate();
}
