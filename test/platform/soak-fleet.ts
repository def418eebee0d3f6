/** Real entry and agent processes with stand-in workers and store, checked calls, and random fault injection. */
import * as fs from "node:fs/promises";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as portBlocks from "../../tools/support/ports.js";
import * as processes from "../../tools/support/processes.js";
import * as standIns from "./stand-ins.js";

const ZONES = ["one", "two"];
const ENTRY_COUNT = 3;
const MODEL_WORKER_COUNT = 4;
const HTTP_WORKER_COUNT = 2;
const MODEL = "menu";
const MODEL_SERVICE = "engines";
const HOST = "shop.example";
const TENANT = { name: "club", key: "key-of-the-club" };
/** Delay in milliseconds before a process that exited is restarted. */
const RESTART_DELAY_MS = 200;
const START_TIMEOUT_MS = 60_000;
const SOCKET_TIMEOUT_MS = 6000;
const OUTPUT_TOKENS = 20;
/** Cold starts of model workers, where the settings list the contract for them. */
const COLD_START_S = 1;
const COLD_REQUESTS_PER_S = 16;
/** Statuses with which the system states that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

interface Route {
    readonly path: string;
    readonly service: string;
    readonly routeType: "streaming" | "non_idempotent" | "idempotent";
    readonly resumable: boolean;
}

/** Routes of each call type, which decides whether a request may run again. */
const ROUTES = [
    { path: "/review/", service: MODEL_SERVICE, routeType: "streaming", resumable: true },
    { path: "/note/", service: MODEL_SERVICE, routeType: "streaming", resumable: false },
    { path: "/book/", service: "desk", routeType: "non_idempotent", resumable: false },
    { path: "/look/", service: "desk", routeType: "idempotent", resumable: false },
] as const satisfies readonly Route[];

export interface Call {
    readonly id: string;
    readonly path: string;
    /** Undefined when the connection was refused, or failed before the response. */
    readonly status: number | undefined;
    /** The whole response was received. */
    readonly isComplete: boolean;
    readonly body: string;
}

interface Node {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly ip: string;
    process: processes.LaunchedProcess;
    isFrozen: boolean;
}

/** A process that ended although nobody had asked it to. */
export interface OwnEnd {
    readonly name: string;
    readonly status: number | string;
    readonly output: readonly string[];
}

export interface FleetOptions {
    /** Called before the processes start. */
    readonly prepare?: (store: standIns.Store) => void;
    /** Contracts that the settings of all processes list. */
    readonly contracts?: readonly string[];
    /** Heap limit in megabytes of the processes of each role. */
    readonly heapMb?: Readonly<Record<Node["role"], number>>;
    readonly httpWorkers?: Pick<standIns.WorkerOptions, "slowness" | "bodyBytes">;
}

interface Ports {
    readonly store: number;
    readonly worker: number;
    readonly peers: number;
    readonly front: number;
    readonly ready: number;
}

export class SoakFleet implements AsyncDisposable {
    readonly calls: Call[] = [];
    readonly log = standIns.createWorkerLog();
    readonly ownEnds: OwnEnd[] = [];
    private readonly nodes: Node[] = [];
    private readonly workers: standIns.Worker[] = [];
    private readonly addedRoutes: Route[] = [];
    private configurationVersion = 1;
    private weightsVersion = 1;
    private callCount = 0;
    private isStopping = false;

    private constructor(
        private readonly portBlock: portBlocks.PortBlock,
        private readonly ports: Ports,
        private readonly folder: string,
        readonly store: standIns.Store,
        private readonly options: FleetOptions,
    ) {}

    /** Starts all workers and processes; resolves when each entry is ready. */
    static async start(options: FleetOptions = {}): Promise<SoakFleet> {
        const block = await portBlocks.PortBlock.reserve();
        const [store, worker, peers, metrics, front, ready] = block.allocate(6) as [
            number,
            number,
            number,
            number,
            number,
            number,
        ];
        if (metrics !== peers + 1) {
            throw new Error("the metrics port must follow the peer port");
        }
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "ibisstep-soak-"));
        const ports = { store, worker, peers, front, ready };
        const fleet = new SoakFleet(block, ports, folder, new standIns.Store(`127.0.1.1:${store}`), options);
        await fleet.startAll();
        return fleet;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        this.nodes.forEach(node => node.process.signal("SIGCONT"));
        await Promise.all(this.nodes.map(node => node.process[Symbol.asyncDispose]()));
        await Promise.all(this.workers.map(worker => worker[Symbol.asyncDispose]()));
        await this.store[Symbol.asyncDispose]();
        await this.portBlock[Symbol.asyncDispose]();
        await fs.rm(this.folder, { recursive: true, force: true });
    }

    /** Sends one call to a random entry and route and keeps its result in `calls`. */
    call(random: () => number): Promise<Call> {
        const route = ROUTES[Math.floor(random() * ROUTES.length)]!;
        return this.send(route.path, [], random);
    }

    /** Sends a resumable stream whose prompt has these shared parts besides those of every call. */
    review(extraParts: readonly string[], random: () => number): Promise<Call> {
        return this.send("/review/", extraParts, random);
    }

    /** Adds a route for calls that may run again to the configuration. */
    addRoute(routePath: string): void {
        this.addedRoutes.push({ path: routePath, service: "desk", routeType: "idempotent", resumable: false });
        this.publishConfiguration();
    }

    /** Path prefixes of the routes whose calls may run more than once. */
    private get repeatablePaths(): ReadonlySet<string> {
        const routes = [...ROUTES, ...this.addedRoutes];
        return new Set(
            routes.filter(route => route.resumable || route.routeType === "idempotent").map(route => route.path),
        );
    }

    /** Replaces each HTTP worker by one with another id at its address. */
    async replaceHttpWorkers(): Promise<void> {
        for (const worker of this.workers.slice(MODEL_WORKER_COUNT, MODEL_WORKER_COUNT + HTTP_WORKER_COUNT)) {
            await worker.crash();
            await worker.start();
        }
    }

    /** Open connections of the processes to the store go silent, while new ones work. */
    silenceStoreConnections(): void {
        this.store.silenceConnections();
    }

    /** Announces that a worker without a model is leaving. */
    drainWorker(): standIns.Worker {
        const worker = this.workers[MODEL_WORKER_COUNT]!;
        worker.drain();
        return worker;
    }

    /** Sends a call on an added route to each entry. */
    callAddedRoute(routePath: string): Promise<readonly Call[]> {
        return Promise.all(Array.from({ length: ENTRY_COUNT }, (_, index) => {
            return this.send(routePath, [], () => index / ENTRY_COUNT);
        }));
    }

    private async send(routePath: string, extraParts: readonly string[], random: () => number): Promise<Call> {
        const entry = this.entries[Math.floor(random() * ENTRY_COUNT)]!;
        const id = `call-${this.callCount++}`;
        const parts = ["root:1200", `wall${Math.floor(random() * 6)}:1500`, ...extraParts.map(part => `${part}:100`)];
        const call = await send(`${entry.ip}:${this.ports.front}`, id, `${routePath}${id}`, {
            "Model": MODEL,
            "Token-Count": `3000,${OUTPUT_TOKENS}`,
            "Prompt-Prefix": [...parts, `${id}:300`].join(","),
        });
        this.calls.push(call);
        return call;
    }

    /** Addresses of the workers with models. */
    get modelWorkers(): readonly string[] {
        return this.workers.slice(0, MODEL_WORKER_COUNT).map(worker => worker.address);
    }

    /** Starts model workers with another software version, which are `slowness` times slower. */
    async startVersion(software: string, count: number, slowness: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            const options = {
                service: MODEL_SERVICE,
                zone: ZONES[index % ZONES.length]!,
                model: MODEL,
                software,
                slowness,
            };
            const address = `127.0.4.${index + 1}:${this.ports.worker}`;
            const worker = new standIns.Worker(address, options, this.store, this.log);
            this.workers.push(worker);
            await worker.start();
        }
    }

    /** Orders a rollout of the model workers' software. */
    orderRollout(target: string, durationS: number): void {
        this.store.put("rollouts", MODEL_SERVICE, { service: MODEL_SERVICE, target, durationS });
    }

    /** Status of the rollout of the model workers' software. */
    rolloutStatus(): unknown {
        return this.store.status("rollouts", MODEL_SERVICE);
    }

    /** Stops an entry as the platform does; it is started again once it has ended. */
    stopEntry(random: () => number): void {
        this.randomNode(random, "entry").process.signal("SIGTERM");
    }

    /** Address for calls of the first entry, and its process. */
    get firstEntry(): { readonly address: string; readonly process: processes.LaunchedProcess; } {
        const [{ ip, process }] = this.entries as [Node];
        return { address: `${ip}:${this.ports.front}`, process };
    }

    /** Head of a booking without a body. */
    bookingHead(id: string, deadlineMs = 4000): string {
        const key = `Authorization: Bearer ${TENANT.key}`;
        const lines = [
            `POST /book/${id} HTTP/1.1`,
            `Host: ${HOST}`,
            `Request-Id: ${id}`,
            key,
            `Deadline-Ms: ${deadlineMs}`,
        ];
        return [...lines, "Content-Length: 0", "", ""].join("\r\n");
    }

    /** Requests that workers of a zone have run since a time. */
    runsIn(zone: string, since: number): readonly standIns.Run[] {
        const ids = new Set(
            this.workers.filter(worker => worker.options.zone === zone).map(worker => worker.currentId),
        );
        return this.log.runs.filter(run => ids.has(run.worker) && run.arrivedAt >= since);
    }

    /** Kills an entry; it is started again. */
    killEntry(random: () => number): void {
        this.randomNode(random, "entry").process.signal("SIGKILL");
    }

    /** Injects one random fault, waits until it is over, and returns its name. */
    async injectFault(random: () => number): Promise<string> {
        const faults = Object.keys(FAULTS) as (keyof typeof FAULTS)[];
        const fault = faults[Math.floor(random() * faults.length)]!;
        await FAULTS[fault](this, random);
        return fault;
    }

    /** Violated guarantees among all calls, runs and orders so far. */
    violations(): readonly string[] {
        const runs = new Map<string, number>();
        this.log.runs.forEach(run => runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1));
        const sent = new Set(this.calls.map(call => call.id));
        const found = this.calls.flatMap(call => {
            const count = runs.get(call.id) ?? 0;
            return violationsOf(call, count, this.repeatablePaths).map(violation =>
                `${violation}: ${call.id} ${call.path}, ${count} runs`
            );
        });
        const unexpectedRuns = this.log.runs.filter(run => {
            return !sent.has(run.requestId) || run.tenant !== TENANT.name || run.authorization !== undefined
                || !run.path.endsWith(run.requestId);
        });
        const holders = new Map<string, Set<string>>();
        this.log.orders.forEach(({ worker, holder }) => {
            holders.set(worker, (holders.get(worker) ?? new Set()).add(holder));
        });
        const contested = [...holders].filter(([, names]) => names.size > 1);
        const tokens = new Map<string, readonly number[]>();
        this.log.orders.forEach(({ worker, fence }) => tokens.set(worker, [...tokens.get(worker) ?? [], fence]));
        const fallen = [...tokens].filter(([, fences]) =>
            fences.some((fence, index) => fence < (fences[index - 1] ?? 0))
        );
        return [
            ...found,
            ...fallen.map(([worker, fences]) => `${worker} received tokens that go back: ${fences.join(" ")}`),
            ...unexpectedRuns.map(run => `unexpected run: ${JSON.stringify(run)}`),
            ...contested.map(([worker, names]) => `${worker} received orders from ${[...names].join(" and ")}`),
        ];
    }

    /** @internal Used by `FAULTS`. */
    randomNode(random: () => number, role: Node["role"]): Node {
        const nodes = this.nodes.filter(node => node.role === role);
        return nodes[Math.floor(random() * nodes.length)]!;
    }

    /** @internal Used by `FAULTS`. */
    async freeze(node: Node, durationMs: number): Promise<void> {
        if (node.isFrozen) {
            return;
        }
        node.isFrozen = true;
        node.process.signal("SIGSTOP");
        await standIns.pause(durationMs);
        node.process.signal("SIGCONT");
        node.isFrozen = false;
    }

    /** @internal Used by `FAULTS`. */
    async crashWorker(random: () => number, downMs: number): Promise<void> {
        const worker = this.workers[Math.floor(random() * this.workers.length)]!;
        await worker.crash();
        await standIns.pause(downMs);
        if (!this.isStopping) {
            await worker.start();
        }
    }

    /** @internal Used by `FAULTS`. */
    async setStoreMode(mode: standIns.Store["mode"], durationMs: number): Promise<void> {
        this.store.mode = mode;
        await standIns.pause(durationMs);
        this.store.mode = "healthy";
    }

    /** The store is away, then comes back from an older copy, and what it lost is written again by its owners. */
    async restoreStore(ageMs: number, awayMs: number): Promise<void> {
        await this.setStoreMode("unavailable", awayMs);
        this.store.restore(ageMs);
        this.putConfiguration(this.configurationVersion - 1);
        this.publishWeights();
        this.workers.forEach(worker => worker.registerAgain());
    }

    /** @internal Used by `FAULTS`. */
    async evacuate(random: () => number, durationMs: number): Promise<void> {
        const zone = ZONES[Math.floor(random() * ZONES.length)]!;
        this.store.put("evacuations", zone, {});
        await standIns.pause(durationMs);
        this.store.remove("evacuations", zone);
    }

    /** @internal Used by `FAULTS`. */
    publishNextWeights(): void {
        this.weightsVersion++;
        this.publishWeights();
    }

    /** @internal Used by `FAULTS`. */
    publishConfiguration(): void {
        this.putConfiguration(this.configurationVersion++);
    }

    private get entries(): readonly Node[] {
        return this.nodes.filter(node => node.role === "entry");
    }

    private async startAll(): Promise<void> {
        await this.store.listen();
        this.publishConfiguration();
        this.publishWeights();
        const workerOptions = [
            ...Array.from({ length: MODEL_WORKER_COUNT }, () => ({ service: MODEL_SERVICE, model: MODEL })),
            ...Array.from({ length: HTTP_WORKER_COUNT }, () => {
                return { service: "desk", model: undefined, ...this.options.httpWorkers };
            }),
        ];
        for (const [index, options] of workerOptions.entries()) {
            const zone = ZONES[index % ZONES.length]!;
            const address = `127.0.3.${index + 1}:${this.ports.worker}`;
            const worker = new standIns.Worker(address, { ...options, zone }, this.store, this.log);
            this.workers.push(worker);
            await worker.start();
        }
        this.options.prepare?.(this.store);
        for (let index = 0; index < ENTRY_COUNT; index++) {
            await this.startNode(`entry-${index}`, "entry", `127.0.2.${index + 1}`, ZONES[index % ZONES.length]!);
        }
        for (let index = 0; index < MODEL_WORKER_COUNT; index++) {
            await this.startNode(`agent-${index}`, "agent", `127.0.3.${index + 1}`, ZONES[index % ZONES.length]!);
        }
        await processes.waitUntil("readiness of all entries", START_TIMEOUT_MS, async () => {
            const responses = await Promise.all(this.entries.map(entry => {
                return fetch(`http://${entry.ip}:${this.ports.ready}/-/ready`);
            }));
            return responses.every(response => response.status === 200);
        });
    }

    private putConfiguration(version: number): void {
        const services = [
            {
                name: MODEL_SERVICE,
                maxConnections: 200,
                coldStartS: COLD_START_S,
                coldPerS: COLD_REQUESTS_PER_S,
                engine: { slots: 32, kvCapacity: 90_000, models: [{ name: MODEL }] },
            },
            { name: "desk", maxConnections: 100 },
        ];
        const routes = [...ROUTES, ...this.addedRoutes].map(({ path: pathPrefix, ...route }) => {
            return { hostname: HOST, pathPrefix, ...route, timeoutMs: 4000, maxAttempts: 3, priority: 1 };
        });
        const tenants = [{ name: TENANT.name, apiKeys: [TENANT.key] }];
        this.store.put("config", "main", {
            version,
            routes,
            services,
            tenants,
            limits: {},
        });
    }

    private publishWeights(): void {
        this.store.put("versions", MODEL, { model: MODEL, version: this.weightsVersion });
    }

    private async startNode(name: string, role: Node["role"], ip: string, zone: string): Promise<void> {
        const file = path.join(this.folder, `${name}.toml`);
        const { store, worker, peers, front, ready } = this.ports;
        const lines = [
            `nodeName = "${name}"`,
            `ip = "${ip}"`,
            `zone = "${zone}"`,
            `internalPorts = [${peers}, ${peers + 1}]`,
            `seeds = ["127.0.2.1:${peers}"]`,
            `contracts = ${JSON.stringify(this.options.contracts ?? [])}`,
            ...role === "agent" ? [`app = "${ip}:${worker}"`] : [],
            "[listen]",
            ...role === "entry" ? [`front = "${ip}:${front}"`, `ready = "${ip}:${ready}"`] : [],
            "[bounds]",
            "graceS = 4",
            "versionMs = 8000",
            "retryBudgetRatio = 0.5",
            "retrySlack = 200",
            "[platform]",
            `address = "127.0.1.1:${store}"`,
        ];
        await fs.writeFile(file, lines.join("\n"));
        const heapMb = this.options.heapMb?.[role];
        const environment = {
            IBISSTEP_BOOT: file,
            ...heapMb === undefined ? {} : { NODE_OPTIONS: `--max-old-space-size=${heapMb}` },
        };
        const launch = () => processes.launch(name, "platform/main", [role], environment);
        const node: Node = { name, role, ip, process: launch(), isFrozen: false };
        this.nodes.push(node);
        void this.supervise(node, launch);
    }

    /** Restarts the process whenever it exits, as the platform does. */
    private async supervise(node: Node, launch: () => processes.LaunchedProcess): Promise<void> {
        while (!this.isStopping) {
            const status = await node.process.exited;
            if (!this.isStopping && status !== 0 && status !== "SIGKILL") {
                this.ownEnds.push({ name: node.name, status, output: [...node.process.output()] });
            }
            await standIns.pause(RESTART_DELAY_MS);
            if (!this.isStopping) {
                node.process = launch();
            }
        }
    }
}

type Fault = (fleet: SoakFleet, random: () => number) => Promise<void> | void;

const FAULTS = {
    "entry-killed": (fleet, random) => fleet.randomNode(random, "entry").process.signal("SIGKILL"),
    "entry-stopped": (fleet, random) => fleet.randomNode(random, "entry").process.signal("SIGTERM"),
    "entry-frozen": (fleet, random) => fleet.freeze(fleet.randomNode(random, "entry"), 300 + random() * 1500),
    "agent-killed": (fleet, random) => fleet.randomNode(random, "agent").process.signal("SIGKILL"),
    "agent-frozen": (fleet, random) => fleet.freeze(fleet.randomNode(random, "agent"), 300 + random() * 2500),
    "worker-crashed": (fleet, random) => fleet.crashWorker(random, 300 + random() * 1500),
    "store-unavailable": (fleet, random) => fleet.setStoreMode("unavailable", 300 + random() * 2000),
    "store-unresponsive": (fleet, random) => fleet.setStoreMode("unresponsive", 300 + random() * 2000),
    "store-restored": (fleet, random) => fleet.restoreStore(500 + random() * 4000, 200 + random() * 800),
    "weights-published": fleet => fleet.publishNextWeights(),
    "configuration-changed": fleet => fleet.publishConfiguration(),
    "zone-evacuated": (fleet, random) => fleet.evacuate(random, 500 + random() * 2500),
} satisfies Readonly<Record<string, Fault>>;

/** Guarantees that a call violates, given how often its request ran. */
function violationsOf(call: Call, runs: number, repeatable: ReadonlySet<string>): readonly string[] {
    const isStream = call.path.startsWith("/review/") || call.path.startsWith("/note/");
    const expected = isStream
        ? Array.from({ length: OUTPUT_TOKENS }, (_, index) => `id: ${index + 1}\ndata: ${call.id}/${index + 1}\n\n`)
            .join("")
        : call.id;
    const mayRunAgain = repeatable.has(call.path.slice(0, call.path.lastIndexOf("/") + 1));
    const checks: readonly (readonly [string, boolean])[] = [
        ["ran more than once", !mayRunAgain && runs > 1],
        ["ran despite a status for not run", NOT_RUN_STATUSES.has(call.status ?? 0) && runs > 0],
        ["response differs from the worker's", call.status === 200 && call.isComplete && call.body !== expected],
        ["partial response is not a prefix of the worker's", call.status === 200 && !expected.startsWith(call.body)],
        ["valid request refused", [400, 401, 403, 404].includes(call.status ?? 0)],
    ];
    return checks.filter(([, isViolated]) => isViolated).map(([name]) => name);
}

function send(
    address: string,
    id: string,
    callPath: string,
    headers: Readonly<Record<string, string>>,
): Promise<Call> {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const finish = (status: number | undefined, isComplete: boolean, body: string) => {
            resolve({ id, path: callPath, status, isComplete, body });
        };
        const request = http.request({
            host,
            port: Number(port),
            method: "POST",
            path: callPath,
            agent: false,
            headers: {
                ...headers,
                "Host": HOST,
                "Request-Id": id,
                "Authorization": `Bearer ${TENANT.key}`,
                "Deadline-Ms": "4000",
            },
        });
        request.setTimeout(SOCKET_TIMEOUT_MS, () => request.destroy());
        request.on("error", () => finish(undefined, false, ""));
        request.on("response", response => {
            let body = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => body += chunk);
            response.on("error", () => undefined);
            response.on("close", () => finish(response.statusCode, response.complete, body));
        });
        request.end("{}");
    });
}
