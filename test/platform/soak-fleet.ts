/** Real processes of the platform's roles before stand-in workers, with callers that check each answer and faults at random. */
import * as fs from "node:fs/promises";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as portBlocks from "../../tools/support/ports.js";
import * as processes from "../../tools/support/processes.js";
import * as standIns from "./stand-ins.js";

const ZONES = ["one", "two"];
const ENTRIES = 3;
const MODEL_WORKERS = 4;
const PLAIN_WORKERS = 2;
const MODEL = "menu";
const HOST = "shop.example";
const TENANT = { name: "club", key: "key-of-the-club" };
/** Time in milliseconds until a process that ended is started again. */
const RESTART_MS = 200;
const START_LIMIT_MS = 60_000;
const CALL_TIMEOUT_MS = 6000;
const OUTPUT_TOKENS = 20;
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Paths with what may be repeated on them. */
const ROUTES = [
    { path: "/review/", service: "engines", routeType: "streaming", resumable: true },
    { path: "/note/", service: "engines", routeType: "streaming", resumable: false },
    { path: "/book/", service: "desk", routeType: "non_idempotent", resumable: false },
    { path: "/look/", service: "desk", routeType: "idempotent", resumable: false },
] as const;

export interface Call {
    readonly id: string;
    readonly path: string;
    /** Undefined when the connection was refused or broken. */
    readonly status: number | undefined;
    /** The answer ended as complete answers do. */
    readonly isComplete: boolean;
    readonly body: string;
}

interface Node {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly ip: string;
    process: processes.Launched;
    isFrozen: boolean;
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
    readonly ledger: standIns.Ledger = { runs: [], orders: [] };
    private readonly nodes: Node[] = [];
    private readonly workers: standIns.Worker[] = [];
    private configurationVersion = 1;
    private weightsVersion = 1;
    private lastCall = 0;
    private isStopping = false;

    private constructor(
        private readonly block: portBlocks.PortBlock,
        private readonly ports: Ports,
        private readonly folder: string,
        private readonly store: standIns.Store,
    ) {}

    /** Starts everything and resolves when each entry is ready. */
    static async start(): Promise<SoakFleet> {
        const block = await portBlocks.PortBlock.reserve();
        const [store, worker, peers, metrics, front, ready] = block.take(6) as [
            number,
            number,
            number,
            number,
            number,
            number,
        ];
        if (metrics !== peers + 1) {
            throw new Error("metrics stand on the port after the peers'");
        }
        const folder = await fs.mkdtemp(path.join(os.tmpdir(), "ibisstep-soak-"));
        const ports = { store, worker, peers, front, ready };
        const fleet = new SoakFleet(block, ports, folder, new standIns.Store(`127.0.1.1:${store}`));
        await fleet.startAll();
        return fleet;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        this.nodes.forEach(node => node.process.signal("SIGCONT"));
        await Promise.all(this.nodes.map(node => node.process[Symbol.asyncDispose]()));
        await Promise.all(this.workers.map(worker => worker[Symbol.asyncDispose]()));
        await this.store[Symbol.asyncDispose]();
        await this.block[Symbol.asyncDispose]();
        await fs.rm(this.folder, { recursive: true, force: true });
    }

    /** Sends one call through an entry and notes its answer. */
    async call(random: () => number): Promise<Call> {
        const entry = this.entries[Math.floor(random() * ENTRIES)]!;
        const route = ROUTES[Math.floor(random() * ROUTES.length)]!;
        const id = `call-${this.lastCall++}`;
        const shared = `wall${Math.floor(random() * 6)}`;
        const call = await send(`${entry.ip}:${this.ports.front}`, id, `${route.path}${id}`, {
            "Model": MODEL,
            "Token-Count": `3000,${OUTPUT_TOKENS}`,
            "Prompt-Prefix": `root:1200,${shared}:1500,${id}:300`,
        });
        this.calls.push(call);
        return call;
    }

    /** Strikes with one fault, which ends by itself. */
    async strike(random: () => number): Promise<string> {
        const faults = Object.keys(FAULTS) as (keyof typeof FAULTS)[];
        const fault = faults[Math.floor(random() * faults.length)]!;
        await FAULTS[fault](this, random);
        return fault;
    }

    /** What breaks a promise among the calls that were answered. */
    violations(): readonly string[] {
        const runs = new Map<string, number>();
        this.ledger.runs.forEach(run => runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1));
        const sent = new Set(this.calls.map(call => call.id));
        const found = this.calls.flatMap(call => {
            const count = runs.get(call.id) ?? 0;
            return faultsOf(call, count).map(fault => `${fault}: ${call.id} ${call.path}, ${count} runs`);
        });
        const strange = this.ledger.runs.filter(run => {
            return !sent.has(run.requestId) || run.tenant !== TENANT.name || run.authorization !== undefined
                || !run.path.endsWith(run.requestId);
        });
        const holders = new Map<string, Set<string>>();
        this.ledger.orders.forEach(({ worker, holder }) => {
            holders.set(worker, (holders.get(worker) ?? new Set()).add(holder));
        });
        const shared = [...holders].filter(([, names]) => names.size > 1);
        return [
            ...found,
            ...strange.map(run => `run that no caller asked for: ${JSON.stringify(run)}`),
            ...shared.map(([worker, names]) => `${worker} was ordered by ${[...names].join(" and ")}`),
        ];
    }

    /** @internal Used by the table of faults. */
    node(random: () => number, role: Node["role"]): Node {
        const nodes = this.nodes.filter(node => node.role === role);
        return nodes[Math.floor(random() * nodes.length)]!;
    }

    /** @internal Used by the table of faults. */
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

    /** @internal Used by the table of faults. */
    async crashWorker(random: () => number, downMs: number): Promise<void> {
        const worker = this.workers[Math.floor(random() * this.workers.length)]!;
        await worker.crash();
        await standIns.pause(downMs);
        if (!this.isStopping) {
            await worker.start();
        }
    }

    /** @internal Used by the table of faults. */
    async disturbStore(mode: standIns.Store["mode"], durationMs: number): Promise<void> {
        this.store.mode = mode;
        await standIns.pause(durationMs);
        this.store.mode = "good";
    }

    /** @internal Used by the table of faults. */
    nameWeights(): void {
        this.store.put("versions", MODEL, { model: MODEL, version: ++this.weightsVersion });
    }

    /** @internal Used by the table of faults. */
    configure(): void {
        const services = [
            {
                name: "engines",
                maxConnections: 200,
                engine: { slots: 32, kvCapacity: 90_000, models: [{ name: MODEL }] },
            },
            { name: "desk", maxConnections: 100 },
        ];
        const routes = ROUTES.map(({ path: pathPrefix, ...route }) => {
            return { hostname: HOST, pathPrefix, ...route, timeoutMs: 4000, maxAttempts: 3, priority: 1 };
        });
        const tenants = [{ name: TENANT.name, apiKeys: [TENANT.key] }];
        this.store.put("config", "main", {
            version: this.configurationVersion++,
            routes,
            services,
            tenants,
            limits: {},
        });
    }

    private get entries(): readonly Node[] {
        return this.nodes.filter(node => node.role === "entry");
    }

    private async startAll(): Promise<void> {
        await this.store.listen();
        this.configure();
        this.nameWeightsFirst();
        const plans = [
            ...Array.from({ length: MODEL_WORKERS }, () => ({ service: "engines", model: MODEL })),
            ...Array.from({ length: PLAIN_WORKERS }, () => ({ service: "desk", model: undefined })),
        ];
        for (const [index, plan] of plans.entries()) {
            const zone = ZONES[index % ZONES.length]!;
            const address = `127.0.3.${index + 1}:${this.ports.worker}`;
            const worker = new standIns.Worker(address, { ...plan, zone }, this.store, this.ledger);
            this.workers.push(worker);
            await worker.start();
        }
        for (let index = 0; index < ENTRIES; index++) {
            await this.startNode(`entry-${index}`, "entry", `127.0.2.${index + 1}`, ZONES[index % ZONES.length]!);
        }
        for (let index = 0; index < MODEL_WORKERS; index++) {
            await this.startNode(`agent-${index}`, "agent", `127.0.3.${index + 1}`, ZONES[index % ZONES.length]!);
        }
        await processes.waitUntil("readiness of all entries", START_LIMIT_MS, async () => {
            const answers = await Promise.all(this.entries.map(entry => {
                return fetch(`http://${entry.ip}:${this.ports.ready}/-/ready`);
            }));
            return answers.every(answer => answer.status === 200);
        });
    }

    private nameWeightsFirst(): void {
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
        const launch = () => processes.launch(name, "platform/main", [role], { IBISSTEP_BOOT: file });
        const node: Node = { name, role, ip, process: launch(), isFrozen: false };
        this.nodes.push(node);
        void this.supervise(node, launch);
    }

    /** The platform starts a process again that ended. */
    private async supervise(node: Node, launch: () => processes.Launched): Promise<void> {
        while (!this.isStopping) {
            await node.process.exited;
            await standIns.pause(RESTART_MS);
            if (!this.isStopping) {
                node.process = launch();
            }
        }
    }
}

type Fault = (fleet: SoakFleet, random: () => number) => Promise<void> | void;

const FAULTS = {
    "entry-killed": (fleet, random) => fleet.node(random, "entry").process.signal("SIGKILL"),
    "entry-stopped": (fleet, random) => fleet.node(random, "entry").process.signal("SIGTERM"),
    "entry-frozen": (fleet, random) => fleet.freeze(fleet.node(random, "entry"), 300 + random() * 1500),
    "agent-killed": (fleet, random) => fleet.node(random, "agent").process.signal("SIGKILL"),
    "agent-frozen": (fleet, random) => fleet.freeze(fleet.node(random, "agent"), 300 + random() * 2500),
    "worker-crashed": (fleet, random) => fleet.crashWorker(random, 300 + random() * 1500),
    "store-busy": (fleet, random) => fleet.disturbStore("busy", 300 + random() * 2000),
    "store-silent": (fleet, random) => fleet.disturbStore("silent", 300 + random() * 2000),
    "weights-named": fleet => fleet.nameWeights(),
    "configuration-changed": fleet => fleet.configure(),
} satisfies Readonly<Record<string, Fault>>;

/** Ways in which an answer breaks a promise, given how often its request ran. */
function faultsOf(call: Call, runs: number): readonly string[] {
    const isStream = call.path.startsWith("/review/") || call.path.startsWith("/note/");
    const expected = isStream
        ? Array.from({ length: OUTPUT_TOKENS }, (_, index) => `id: ${index + 1}\ndata: ${call.id}/${index + 1}\n\n`)
            .join("")
        : call.id;
    const mayRepeat = call.path.startsWith("/review/") || call.path.startsWith("/look/");
    const checks: readonly (readonly [string, boolean])[] = [
        ["run more than once", !mayRepeat && runs > 1],
        ["said not to have run", NOT_RUN.has(call.status ?? 0) && runs > 0],
        ["an answer that is not the worker's", call.status === 200 && call.isComplete && call.body !== expected],
        ["a part that is not the beginning of the answer", call.status === 200 && !expected.startsWith(call.body)],
        ["refused although it is allowed", [400, 401, 403, 404].includes(call.status ?? 0)],
    ];
    return checks.filter(([, isBroken]) => isBroken).map(([name]) => name);
}

function send(
    address: string,
    id: string,
    callPath: string,
    headers: Readonly<Record<string, string>>,
): Promise<Call> {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const ended = (status: number | undefined, isComplete: boolean, body: string) => {
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
        request.setTimeout(CALL_TIMEOUT_MS, () => request.destroy());
        request.on("error", () => ended(undefined, false, ""));
        request.on("response", response => {
            let body = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => body += chunk);
            response.on("error", () => undefined);
            response.on("close", () => ended(response.statusCode, response.complete, body));
        });
        request.end("{}");
    });
}
