/** The whole of a run: store, workers, processes and callers, and what the operator and the platform do with them. */
import * as standIns from "../../stand-ins/platform/http-stand-in.js";
import * as stores from "../../stand-ins/platform/store.js";
import * as workers from "../../stand-ins/platform/worker.js";
import type * as ports from "../support/ports.js";
import * as addressing from "./addresses.js";
import * as bounds from "./bounds.js";
import * as callers from "./callers.js";
import * as configurations from "./configurations.js";
import * as deployments from "./deployment.js";
import * as disturbances from "./disturbances.js";
import * as heavyWork from "./heavy-work.js";
import * as randoms from "./random.js";

const SIMPLE_WORKERS_PER_SERVICE = 5;
/** Records on a page of a listing; the platform's pages may be as small. */
const PAGE_SIZE = 30;
const STORE_RESPONSE_MS = 3;
/** Longest time in milliseconds by which a stale read is behind. */
const MAXIMUM_STALE_LAG_MS = 3000;
const RETRY_MS = 100;
/** Numbers of the sequences of random choices. */
const STREAMS = { configurations: 1, callers: 2, store: 3, limits: 4 } as const;
/** Times in milliseconds for which a worker that leaves serves on beyond `drainMs`. */
const LINGER_MS = { shortest: 200, longest: 12_000 } as const;

export interface RigOptions {
    readonly entries: number;
    readonly agents: number;
    readonly folder: string;
    readonly seed: number;
    readonly block: ports.PortBlock;
}

/** How a worker leaves: it reports `draining`, its responses tell it as well, or its record is only removed. */
export type LeavingManner = "draining" | "told" | "told-first" | "removed";

export interface Departure {
    readonly worker: string;
    readonly manner: LeavingManner;
    /** Acknowledgement of the store, in milliseconds. */
    readonly acknowledgedAt: number;
    /** Time at which the worker ended, or at which the store lost this by coming back from an older copy. */
    voidAt: number;
}

export interface Termination {
    readonly machine: string;
    readonly at: number;
    readonly life: number;
    /** Stops of one series have the same number. */
    readonly series: number;
}

export interface Note {
    readonly at: number;
    readonly text: string;
}

export class Rig implements AsyncDisposable {
    readonly disturbances = new disturbances.Disturbances();
    readonly notes: Note[] = [];
    readonly departures: Departure[] = [];
    readonly terminations: Termination[] = [];
    readonly book: configurations.ConfigurationBook;
    readonly log = workers.createWorkerLog();
    readonly store: stores.Store;
    readonly deployment: deployments.Deployment;
    readonly callers: callers.Callers;
    readonly heavy: heavyWork.HeavyWorks;
    readonly workers: workers.Worker[] = [];
    private readonly leaving = new Set<workers.Worker>();
    private operatorWork: Promise<void> = Promise.resolve();
    private seriesCount = 0;
    private weightsVersion = 1;
    isOver = false;

    constructor(private readonly options: RigOptions) {
        // Each part draws from a sequence of its own, so that a seed gives the same faults whatever the timing is.
        const { seed } = options;
        const storeRandom = randoms.Random.stream(seed, STREAMS.store);
        this.book = new configurations.ConfigurationBook(randoms.Random.stream(seed, STREAMS.configurations));
        const addresses = addressing.addressesIn(options.block);
        this.store = new stores.Store(addressing.storeAddress(addresses), {
            pageSize: PAGE_SIZE,
            responseMs: STORE_RESPONSE_MS,
            staleLagMs: () => storeRandom.between(0, MAXIMUM_STALE_LAG_MS),
        });
        this.deployment = new deployments.Deployment(
            addresses,
            options.folder,
            randoms.Random.stream(seed, STREAMS.limits),
        );
        this.heavy = new heavyWork.HeavyWorks(addresses, text => this.note(text));
        this.callers = new callers.Callers(this.deployment, this.book, randoms.Random.stream(seed, STREAMS.callers));
    }

    async start(): Promise<void> {
        await this.store.listen();
        const first = this.book.first(performance.now());
        this.store.put("config", "main", configurations.encode(first));
        first.acknowledgedAt = performance.now();
        this.publishWeights();
        const { addresses } = this.deployment;
        for (let index = 0; index < this.options.agents; index++) {
            const options = { service: configurations.MODEL_SERVICE, model: configurations.MODEL };
            await this.addWorker(addressing.workerPlace(addresses, index), options);
        }
        for (let index = 0; index < SIMPLE_WORKERS_PER_SERVICE * configurations.SIMPLE_SERVICES.length; index++) {
            const service = configurations.SIMPLE_SERVICES[index % configurations.SIMPLE_SERVICES.length]!;
            await this.addWorker(addressing.simpleWorkerPlace(addresses, index), { service, model: undefined });
        }
        await this.deployment.start(this.options.entries, this.options.agents);
        this.callers.start();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isOver = true;
        await this.callers.stop();
        await this.heavy[Symbol.asyncDispose]();
        await this.deployment[Symbol.asyncDispose]();
        await Promise.all(this.workers.map(worker => worker[Symbol.asyncDispose]()));
        await this.store[Symbol.asyncDispose]();
    }

    note(text: string): void {
        this.notes.push({ at: performance.now(), text });
    }

    nextSeries(): number {
        return ++this.seriesCount;
    }

    /** Disturbs something for a time. `machines` is undefined for all; the scope says what that excuses. */
    async disturb(
        name: string,
        scope: disturbances.Scope,
        machines: readonly deployments.Machine[] | undefined,
        body: () => Promise<string | void>,
    ): Promise<void> {
        const names = machines?.map(machine => machine.name);
        const detail = names === undefined ? "all machines" : names.join(" ");
        const begun = this.disturbances.begin({
            name,
            scope,
            machines: names === undefined ? undefined : new Set(names),
            from: performance.now(),
            isPlanned: false,
            detail,
        });
        this.note(`${name} begins: ${detail}`);
        const result = await body();
        begun.until = performance.now();
        this.note(`${name} ends${result === undefined ? "" : `: ${result}`}`);
    }

    /** The operator writes the next version, and again until the store acknowledges it. */
    writeConfiguration(changes: readonly configurations.ChangeName[]): void {
        const version = this.book.next(changes, performance.now());
        this.operatorWork = this.operatorWork.then(async () => {
            do {
                await standIns.pause(this.store.mode === "healthy" ? this.store.slownessMs : RETRY_MS);
                if (this.store.mode === "healthy" || this.store.mode === "unacknowledged") {
                    this.store.put("config", "main", configurations.encode(version));
                }
            }
            while (this.store.mode !== "healthy" && !this.isOver);
            version.acknowledgedAt = performance.now();
            this.note(`the store acknowledges configuration ${version.version}: ${changes.join(", ")}`);
        });
    }

    publishNextWeights(): void {
        this.weightsVersion++;
        this.publishWeights();
        this.note(`weights version ${this.weightsVersion} is named`);
    }

    /** Stops an entry as planned work; `second` is the time until the signal comes again. */
    terminate(machine: deployments.Machine, series: number, secondAfterMs: number | undefined): void {
        const { life, name } = machine;
        if (!machine.isRunning || machine.endReason !== undefined) {
            return;
        }
        const begun = this.disturbances.begin({
            name: "entry stopped",
            scope: "machine",
            machines: new Set([name]),
            from: performance.now(),
            isPlanned: true,
            detail: name,
        });
        this.terminations.push({ machine: name, at: performance.now(), life, series });
        this.deployment.terminate(machine);
        this.note(`SIGTERM to ${name}`);
        void this.endWithNextLife(machine, life, begun);
        if (secondAfterMs !== undefined) {
            setTimeout(() => {
                if (machine.life === life && machine.isRunning) {
                    machine.child?.kill("SIGTERM");
                    this.note(`SIGTERM to ${name} once more`);
                }
            }, secondAfterMs);
        }
    }

    kill(machine: deployments.Machine, downMs: number): void {
        const { life, name } = machine;
        if (!machine.isRunning) {
            return;
        }
        machine.downUntil = performance.now() + downMs;
        const begun = this.disturbances.begin({
            name: "process killed",
            scope: "machine",
            machines: new Set([name]),
            from: performance.now(),
            isPlanned: false,
            detail: name,
        });
        this.deployment.kill(machine);
        this.note(`SIGKILL to ${name}, down for ${Math.round(downMs)} ms`);
        void this.endWithNextLife(machine, life, begun);
    }

    async freeze(machines: readonly deployments.Machine[], durationMs: number): Promise<void> {
        const frozen = machines.filter(machine => machine.isRunning && !machine.isFrozen);
        await this.disturb("processes frozen", "machine", frozen, async () => {
            for (const machine of frozen) {
                machine.isFrozen = true;
                machine.child?.kill("SIGSTOP");
            }
            await standIns.pause(durationMs);
            for (const machine of frozen) {
                machine.isFrozen = false;
                machine.child?.kill("SIGCONT");
            }
        });
    }

    /** Workers that are not leaving, of models or not. */
    presentWorkers(hasModel: boolean): readonly workers.Worker[] {
        return this.workers.filter(worker =>
            (worker.options.model !== undefined) === hasModel && !this.leaving.has(worker)
        );
    }

    /** A worker leaves, serves on for a while, ends, and another one starts at its address. */
    async leave(worker: workers.Worker, manner: LeavingManner, random: randoms.Random): Promise<void> {
        if (this.leaving.has(worker) || this.store.mode !== "healthy") {
            return;
        }
        this.leaving.add(worker);
        const id = worker.instanceId;
        worker.tellsLeaving = manner === "told" || manner === "told-first";
        if (manner === "told-first") {
            await standIns.pause(random.between(300, 2500));
        }
        if (manner === "removed") {
            worker.withdraw();
        }
        else {
            worker.drain();
        }
        this.acknowledgeDeparture(id, manner);
        const lingerMs = random.between(LINGER_MS.shortest, LINGER_MS.longest);
        this.note(`worker ${id} leaves (${manner}), serves on for ${Math.round(lingerMs)} ms beyond drainMs`);
        await standIns.pause(bounds.BOUNDS.drainMs + lingerMs);
        await worker.close();
        const endedAt = performance.now();
        this.departures.filter(departure => departure.worker === id).forEach(departure => {
            departure.voidAt = Math.min(departure.voidAt, endedAt);
        });
        worker.withdraw();
        this.note(`worker ${id} has ended`);
        await this.replaceWorker(worker, id, random);
    }

    async crashWorker(worker: workers.Worker, downMs: number, random: randoms.Random): Promise<void> {
        if (this.leaving.has(worker)) {
            return;
        }
        this.leaving.add(worker);
        const id = worker.instanceId;
        this.note(`worker ${id} crashes, down for ${Math.round(downMs)} ms`);
        await worker.crash();
        await standIns.pause(downMs);
        await this.replaceWorker(worker, id, random);
    }

    /** The store comes back from an older copy; what it lost is written again by its owners. */
    restoreStore(ageMs: number): void {
        this.store.restore(ageMs);
        const now = performance.now();
        this.store.put("config", "main", configurations.encode(this.book.current));
        this.publishWeights();
        this.workers.forEach(worker => worker.registerAgain());
        const lost = this.departures.filter(departure =>
            departure.voidAt > now && departure.acknowledgedAt > now - ageMs
        );
        for (const departure of lost) {
            departure.voidAt = now;
        }
        setTimeout(() => {
            // Records without heartbeats are removed again.
            const known = new Set(this.workers.map(worker => worker.instanceId));
            for (const { worker, manner } of lost) {
                const isServing = this.workers.find(candidate => candidate.instanceId === worker);
                if (manner === "removed" || !known.has(worker)) {
                    this.store.remove("servers", worker);
                }
                if (isServing !== undefined && this.leaving.has(isServing)) {
                    this.acknowledgeDeparture(worker, manner);
                }
            }
        }, 3 * bounds.HEARTBEAT_MS);
    }

    private acknowledgeDeparture(worker: string, manner: LeavingManner): void {
        const acknowledgedAt = performance.now();
        this.departures.push({ worker, manner, acknowledgedAt, voidAt: Number.POSITIVE_INFINITY });
    }

    /** Starts the worker again, under its id or another, or a worker of another service at its address. */
    private async replaceWorker(worker: workers.Worker, id: string, random: randoms.Random): Promise<void> {
        await standIns.pause(bounds.BOUNDS.addrReuseS * 1000 + random.between(100, 1500));
        if (this.isOver) {
            return;
        }
        const { model, service, zone } = worker.options;
        const takesAddress = model === undefined && random.chance(0.4);
        if (takesAddress) {
            const other = configurations.SIMPLE_SERVICES.find(name => name !== service)!;
            this.workers.splice(this.workers.indexOf(worker), 1);
            this.leaving.delete(worker);
            await this.addWorker({ address: worker.address, zone }, { service: other, model: undefined });
            this.note(`the address of ${id} is taken by a worker of ${other}`);
            return;
        }
        await worker.start(random.chance(0.3) ? id : undefined);
        this.leaving.delete(worker);
        this.note(`worker ${worker.instanceId} starts in place of ${id}`);
    }

    private async addWorker(
        { address, zone }: { readonly address: string; readonly zone: string; },
        { service, model }: { readonly service: string; readonly model: string | undefined; },
    ): Promise<void> {
        const options = {
            service,
            zone,
            model,
            slots: model === undefined ? 24 : 64,
            heartbeatMs: bounds.HEARTBEAT_MS,
            loadMs: 380,
            largeAnswer: configurations.largeAnswerOf,
            trouble: configurations.troubleOf,
            workMs: (request: Parameters<typeof callers.isSlow>[0]) =>
                callers.isSlow(request) ? callers.SLOW_WORK_MS : 15,
        };
        const worker = new workers.Worker(address, options, this.store, this.log);
        this.workers.push(worker);
        await worker.start(
            `i-${service}-${address.split(":")[0]!.split(".").slice(2).join("-")}-${Math.floor(performance.now())}`,
        );
    }

    private publishWeights(): void {
        this.store.put("versions", configurations.MODEL, { model: configurations.MODEL, version: this.weightsVersion });
    }

    private async endWithNextLife(
        machine: deployments.Machine,
        life: number,
        begun: disturbances.Disturbance,
    ): Promise<void> {
        while (machine.life === life && !this.isOver) {
            await standIns.pause(20);
        }
        begun.until = machine.life === life ? Number.POSITIVE_INFINITY : machine.startedAt;
    }
}
