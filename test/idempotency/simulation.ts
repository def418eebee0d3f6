/** Simulates agents, an entry, callers, a store and a booking service in memory, with faults drawn from a seed. */
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
import type * as httpClients from "../../src/object-api/http-client.js";
import type * as objectApi from "../../src/object-api/types.js";
import * as simulationClock from "../support/simulation-clock.js";

const AGENTS = 3;
const KEYS = 2;
/** Faults occur until this virtual time. */
const FAULTS_END_MS = 40_000;
/** Virtual time by which all requests have to be settled. */
const END_MS = 400_000;
const DEADLINE_MS = 10_000;
const SETTLE_AFTER_MS = 30_000;
const STORE_TIMEOUT_MS = 2000;
const STEP_INTERVAL_MS = 5000;
/** Longer than another agent needs to settle the claim of a paused agent. */
const LONGEST_PAUSE_MS = 120_000;
/** Shorter than `settleAfterMs`, within which the service has to make a call visible to its lookup. */
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

/** Counts of what occurred in the schedules, so that a test can check that faults occurred. */
export interface Coverage {
    runs: number;
    notRun: number;
    unknown: number;
    replayed: number;
    settledNotRun: number;
    crashes: number;
}

export const EMPTY_COVERAGE: Readonly<Coverage> = {
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

/** One incarnation of an agent process, which can be paused and killed. */
class Process {
    isDead = false;
    pausedSince = 0;
    pausedUntil = 0;
    readonly death: Promise<void>;
    private resolveDeath: () => void = () => undefined;

    constructor(
        readonly incarnation: incarnations.Incarnation,
        private readonly clock: simulationClock.SimulationClock,
    ) {
        this.death = new Promise(resolve => {
            this.resolveDeath = resolve;
        });
    }

    kill(): void {
        this.isDead = true;
        this.resolveDeath();
    }

    pause(durationMs: number): void {
        this.pausedSince = this.clock.now();
        this.pausedUntil = this.pausedSince + durationMs;
    }

    /** Resolves with the value of the promise, but only after a pause, and never after a crash. */
    async afterPause<Value>(promise: Promise<Value>): Promise<Value> {
        const value = await promise;
        while (!this.isDead && this.clock.now() < this.pausedUntil) {
            await this.clock.sleep(this.pausedUntil - this.clock.now());
        }
        return this.isDead ? new Promise<Value>(() => undefined) : value;
    }
}

class Simulation {
    readonly violations: string[] = [];
    readonly coverage: Coverage = { ...EMPTY_COVERAGE };
    readonly clock: simulationClock.SimulationClock;
    private readonly random: () => number;
    private readonly objects = new Map<string, objectApi.StoredObject>();
    private revision = 0;
    private storeDownUntil = 0;
    private serviceDownUntil = 0;
    private readonly runs = new Map<string, Attempt[]>();
    private readonly agents: { process: Process; ledger: ledgers.CallLedger; }[] = [];
    private readonly active = new Map<string, Attempt>();
    private readonly answeredNotRun = new Set<string>();
    private readonly dropsPausedAgents: boolean;
    private unfinished = KEYS;

    constructor(private readonly seed: number) {
        this.clock = new simulationClock.SimulationClock(seed);
        this.random = this.clock.random;
        this.dropsPausedAgents = this.chance(0.7);
    }

    async simulate(): Promise<Report> {
        for (let index = 0; index < AGENTS; index++) {
            this.agents.push(this.startAgent(index));
        }
        void this.injectFaults();
        for (let index = 0; index < KEYS; index++) {
            void this.runCaller(`key-${index}`);
        }
        await this.clock.run(END_MS, () => this.unfinished === 0);
        for (const [key, attempts] of this.runs) {
            if (attempts.length > 1) {
                this.addViolation(`${key} ran ${attempts.length} times`);
            }
        }
        if (this.unfinished > 0) {
            this.addViolation(`${this.unfinished} requests were not settled`);
        }
        this.agents.forEach(agent => void agent.ledger[Symbol.asyncDispose]());
        return { violations: this.violations, coverage: this.coverage };
    }

    private addViolation(text: string): void {
        this.violations.push(`seed ${this.seed}: ${text}`);
    }

    private chance(probability: number): boolean {
        return this.random() < probability;
    }

    private between(low: number, high: number): number {
        return low + this.random() * (high - low);
    }

    private get injectsFaults(): boolean {
        return this.clock.now() < FAULTS_END_MS;
    }

    private faultOccurs(probability: number): boolean {
        return this.injectsFaults && this.chance(probability);
    }

    private startAgent(index: number): { process: Process; ledger: ledgers.CallLedger; } {
        const self = { address: `10.0.0.${index}:1`, boot: this.clock.identifier() };
        const process = new Process(self, this.clock);
        const clock = {
            now: () => this.clock.now(),
            wallTime: () => this.clock.wallTime(),
            random: () => this.random(),
            identifier: () => this.clock.identifier(),
            sleep: (durationMs: number, signal?: AbortSignal) =>
                process.afterPause(this.clock.sleep(durationMs, signal)),
        };
        const ledger = new ledgers.CallLedger({
            self,
            store: this.store(process),
            clock,
            journal: journals.silentJournal,
            liveness: { probe: incarnation => process.afterPause(this.probe(incarnation)) },
            service: { lookup: (_route, key) => process.afterPause(this.serviceLookup(key)) },
        });
        void this.runSteps(process, ledger);
        return { process, ledger };
    }

    private async runSteps(process: Process, ledger: ledgers.CallLedger): Promise<void> {
        while (!process.isDead) {
            await process.afterPause(this.clock.sleep(STEP_INTERVAL_MS));
            await ledger.step(this.clock.now());
        }
    }

    private async injectFaults(): Promise<void> {
        while (this.injectsFaults) {
            await this.clock.sleep(this.between(50, 6000));
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
                this.storeDownUntil = this.clock.now() + this.between(100, 15_000);
            }
            else {
                this.serviceDownUntil = this.clock.now() + this.between(100, 5000);
            }
        }
        this.storeDownUntil = 0;
        this.serviceDownUntil = 0;
    }

    /** Pauses the agent at random between the write of a claim and the start of the call, where a pause is riskiest. */
    private async pauseAtRandom(process: Process): Promise<void> {
        if (this.faultOccurs(0.02)) {
            process.pause(this.between(100, LONGEST_PAUSE_MS));
        }
        await process.afterPause(Promise.resolve());
    }

    private async crash(index: number): Promise<void> {
        const { process, ledger } = this.agents[index];
        this.coverage.crashes++;
        process.kill();
        void ledger[Symbol.asyncDispose]();
        await this.clock.sleep(this.between(10, 8000));
        this.agents[index] = this.startAgent(index);
    }

    /** A paused process is reported dead if the instance list has dropped it. */
    private async probe(incarnation: incarnations.Incarnation): Promise<membership.Liveness> {
        await this.clock.sleep(1);
        const current = this.agents.find(agent => agent.process.incarnation.address === incarnation.address);
        if (current === undefined || current.process.isDead || current.process.incarnation.boot !== incarnation.boot) {
            return "dead";
        }
        const isPaused = this.clock.now() < current.process.pausedUntil;
        if (isPaused) {
            const isLongPause = this.clock.now() - current.process.pausedSince > 3000;
            return this.dropsPausedAgents && isLongPause ? "dead" : "unknown";
        }
        return this.faultOccurs(0.1) ? "unknown" : "alive";
    }

    private store(process: Process): objectApi.ObjectStore {
        return {
            get: name => process.afterPause(this.get(name)),
            put: (name, value, version) =>
                process.afterPause(
                    this.put(name, value, version).then(async result => {
                        await this.pauseAtRandom(process);
                        return result;
                    }),
                ),
            list: async () => outcomes.succeed([]),
            watch: async () => outcomes.succeed({ revision: 0, objects: [] }),
        };
    }

    private get storeIsDown(): boolean {
        return this.clock.now() < this.storeDownUntil;
    }

    private async get(name: string): Promise<outcomes.Outcome<objectApi.StoredObject | undefined>> {
        await this.clock.sleep(this.between(0.5, 3));
        if (this.storeIsDown || this.faultOccurs(0.03)) {
            await this.clock.sleep(this.between(0, 200));
            return outcomes.fail("store-unavailable", "fault");
        }
        const object = this.objects.get(name);
        await this.clock.sleep(this.between(0.5, 3));
        return outcomes.succeed(object);
    }

    /** A write can be refused or lost, or take effect without a response, also long after the response was lost. */
    private async put(name: string, value: string, expected: number): Promise<outcomes.Outcome<number>> {
        await this.clock.sleep(this.between(0.5, 3));
        const lost = outcomes.fail("store-write-unconfirmed", name);
        if (this.storeIsDown) {
            await this.clock.sleep(this.between(0, 200));
            return this.chance(0.5) ? lost : outcomes.fail("store-unavailable", "fault");
        }
        if (this.faultOccurs(0.1)) {
            void this.clock.sleep(this.between(0, 20_000)).then(() => this.write(name, value, expected));
            await this.clock.sleep(this.between(0, STORE_TIMEOUT_MS));
            return lost;
        }
        const version = this.write(name, value, expected);
        await this.clock.sleep(this.between(0.5, 3));
        if (this.faultOccurs(0.1)) {
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
        return this.clock.now() < this.serviceDownUntil;
    }

    private async serviceCall(
        process: Process,
        attempt: Attempt,
        permit: ledgers.Permit,
    ): Promise<httpClients.HttpResult> {
        await this.clock.sleep(this.between(0, 5));
        if (this.serviceIsDown) {
            return { kind: "not-sent", detail: "ECONNREFUSED" };
        }
        await this.pauseAtRandom(process);
        if (!permit.mayStart()) {
            return { kind: "not-sent", detail: "too late" };
        }
        if (this.faultOccurs(0.1)) {
            return this.crashService("before");
        }
        if (this.faultOccurs(0.1)) {
            void this.clock.sleep(this.between(0, LONGEST_SERVICE_DELAY_MS)).then(() => this.runCall(attempt, permit));
            await this.clock.sleep(this.between(0, permit.timeoutMs));
            return { kind: "lost", detail: "slow" };
        }
        await this.clock.sleep(this.between(1, 50));
        const body = this.runCall(attempt, permit);
        if (this.faultOccurs(0.1)) {
            return this.crashService("after");
        }
        await this.clock.sleep(this.between(0, 5));
        return this.faultOccurs(0.1)
            ? { kind: "lost", detail: "answer" }
            : { kind: "answered", response: { status: 201, headers: {}, body } };
    }

    private crashService(moment: string): httpClients.HttpResult {
        this.serviceDownUntil = this.clock.now() + this.between(10, 3000);
        return { kind: "lost", detail: moment };
    }

    private runCall(attempt: Attempt, permit: ledgers.Permit): Buffer {
        this.coverage.runs++;
        const attempts = this.runs.get(permit.serviceKey) ?? [];
        this.runs.set(permit.serviceKey, [...attempts, attempt]);
        if (this.answeredNotRun.has(attempt.requestId)) {
            this.addViolation(`${attempt.requestId} ran after it was reported as not run`);
        }
        return Buffer.from(attempt.key);
    }

    private async serviceLookup(serviceKey: string): Promise<settlement.ServiceLookupResult> {
        await this.clock.sleep(this.between(1, 10));
        if (this.serviceIsDown || this.faultOccurs(0.1)) {
            return { kind: "no-answer", detail: "fault" };
        }
        const run = this.runs.get(serviceKey)?.[0];
        return run === undefined
            ? { kind: "absent" }
            : { kind: "ran", response: { status: 200, headers: {}, body: Buffer.from(run.key) } };
    }

    /** Repeats the request until it succeeds; stops waiting for some responses early. */
    private async runCaller(key: string): Promise<void> {
        await this.clock.sleep(this.between(0, 3000));
        for (let number = 0;; number++) {
            const requestId = `${key}/request-${number}`;
            const origin = number === 0 && this.chance(0.5) ? "generated" : "caller";
            const response = this.sendRequest(key, requestId, origin);
            const giveUp = this.faultOccurs(0.2) ? this.clock.sleep(this.between(10, 8000)) : undefined;
            const outcome = await (giveUp === undefined ? response : Promise.race([response, giveUp]));
            if (outcome?.ok) {
                break;
            }
            await this.clock.sleep(this.between(1, 4000));
        }
        if (this.runsOf(key) !== 1) {
            this.addViolation(`${key} is done but ran ${this.runsOf(key)} times`);
        }
        this.unfinished--;
    }

    private runsOf(key: string): number {
        return [...this.runs.values()].flat().filter(attempt => attempt.key === key).length;
    }

    private async sendRequest(
        key: string,
        requestId: string,
        keyOrigin: "caller" | "generated",
    ): Promise<outcomes.Outcome<true>> {
        const deadline = this.clock.now() + DEADLINE_MS;
        const first = Math.floor(this.random() * AGENTS);
        let history = decisions.initialHistory(keyOrigin);
        let isLookup = false;
        for (let attempt = 0;; attempt++) {
            const index = (first + attempt) % AGENTS;
            const attemptOutcome = isLookup
                ? await this.sendLookup(index, key, requestId, deadline)
                : await this.sendAttempt(index, { key, requestId, attempt }, deadline);
            const step = decisions.decide(history, attemptOutcome, {
                remainingMs: deadline - this.clock.now(),
                untriedAgents: AGENTS - 1 - attempt,
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
            isLookup = step.decision.kind === "lookup";
        }
    }

    /** Checks `not-run` failures only without concurrent requests for the key, since those can run at any time. */
    private checkRefusal(key: string, requestId: string, failure: failures.Failure): void {
        if (catalogue.failures[failure.kind].execution !== "not-run") {
            this.coverage.unknown++;
            return;
        }
        this.coverage.notRun++;
        this.coverage.settledNotRun += failure.kind === "earlier-call-not-run" ? 1 : 0;
        this.answeredNotRun.add(requestId);
        const hasConcurrent = [...this.active.values()].some(other =>
            other.key === key && other.requestId !== requestId
        );
        if (this.runsOf(key) > 0 && !hasConcurrent) {
            this.addViolation(`${requestId} was reported as ${failure.kind} although it ran`);
        }
    }

    private async sendAttempt(index: number, attempt: Attempt, deadline: number): Promise<decisions.AttemptOutcome> {
        await this.clock.sleep(this.between(0.5, 2));
        const { process, ledger } = this.agents[index];
        if (process.isDead) {
            return { kind: "not-sent", failure: { kind: "peer-unreachable", detail: "" } };
        }
        const lost: decisions.AttemptOutcome = { kind: "lost", failure: { kind: "peer-connection-lost", detail: "" } };
        const id = idOf(attempt, process);
        this.active.set(id, attempt);
        const abort = new AbortController();
        const delay = this.faultOccurs(0.1) ? this.between(0, 9000) : 0;
        const work = process.afterPause(this.clock.sleep(delay)).then(() =>
            process.afterPause(ledger.run({
                customer: "anna",
                route: ROUTE,
                key: attempt.key,
                requestId: attempt.requestId,
                attempt: attempt.attempt,
                bodyHash: "body",
                // The request carries its remaining time, so a delay in transit postpones the deadline as well.
                deadline: this.clock.now() + Math.max(0, deadline - this.clock.now() + delay),
                signal: abort.signal,
            }, permit => process.afterPause(this.serviceCall(process, attempt, permit))))
        );
        void work.then(() => this.active.delete(id));
        const disconnect = this.faultOccurs(0.15) ? this.clock.sleep(this.between(1, 5000)) : undefined;
        const end = await Promise.race([
            work.then(outcome => this.attemptOutcome(outcome, attempt.key)),
            this.clock.sleep(Math.max(0, deadline - this.clock.now())).then(() => lost),
            process.death.then(() => lost),
            ...(disconnect === undefined ? [] : [disconnect.then(() => lost)]),
        ]);
        if (end === lost && this.chance(0.5)) {
            abort.abort();
        }
        return end;
    }

    private attemptOutcome(outcome: outcomes.Outcome<ledgers.CallResult>, key: string): decisions.AttemptOutcome {
        if (!outcome.ok) {
            return { kind: "refused", failure: outcome.failure };
        }
        this.coverage.replayed += outcome.value.replayed ? 1 : 0;
        if (outcome.value.response.body.toString() !== key) {
            this.addViolation(`${key} received the response of another call`);
        }
        return { kind: "answered" };
    }

    private async sendLookup(
        index: number,
        key: string,
        requestId: string,
        deadline: number,
    ): Promise<decisions.AttemptOutcome> {
        const { process, ledger } = this.agents[index];
        const expiry = this.clock.sleep(Math.max(0, deadline - this.clock.now())).then(() => undefined);
        const work = process.afterPause(ledger.lookup({ customer: "anna", route: ROUTE, key, requestId, deadline }));
        const outcome = process.isDead ? undefined : await Promise.race([work, expiry]);
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
    return new Simulation(seed).simulate();
}
