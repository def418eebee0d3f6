/** A small deployment on loopback that runs stand-ins, entries and agents as separate processes. */
import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as portBlocks from "./ports.js";
import * as processes from "./processes.js";

const START_TIMEOUT_MS = 20_000;
const HOST = "127.0.0.1";

export interface EnginePlan {
    readonly name: string;
    readonly model: string;
    readonly dataCentre: string;
    /** Settings of the engine stand-in. */
    readonly settings?: object;
}

export interface CustomerPlan {
    readonly name: string;
    readonly requestsPerSecond: number;
    readonly burst: number;
}

export interface Plan {
    readonly models: readonly string[];
    readonly engines: readonly EnginePlan[];
    /** Data centre of each booking service. */
    readonly bookingServices: readonly string[];
    /** Data centre of each entry. */
    readonly entries: readonly string[];
    readonly customers: readonly CustomerPlan[];
}

/** Process of an entry or an agent, with the settings that a restart needs. */
export interface Node {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly rpcAddress: string;
    /** Address for callers of an entry, or address of the health endpoints of an agent. */
    readonly httpAddress: string;
    readonly backendServer: string;
    readonly backendAddress: string;
    process: processes.LaunchedProcess;
}

/** Process of a backend server, with the addresses of its agent and the parameters that a restart needs. */
interface Backend {
    readonly name: string;
    readonly kind: "engine" | "service";
    readonly model: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly agentAddress: string;
    readonly healthAddress: string;
    /** Path of the program below the root, without its extension. */
    readonly program: string;
    readonly parameters: readonly string[];
    process: processes.LaunchedProcess;
}

const WEIGHTS_VERSION = "v1";
const BOOKING_SERVICE = "booking";

export class Deployment implements AsyncDisposable {
    /** API keys by customer. */
    readonly keys = new Map<string, string>();
    readonly nodes: Node[] = [];
    readonly backends: Backend[] = [];
    /** Base URL. */
    objectApi = "";
    /** Base URL. */
    instanceList = "";
    private manifestVersion = 0;
    private folder = "";
    private readonly infrastructure: processes.LaunchedProcess[] = [];

    private constructor(private readonly plan: Plan, private readonly ports: portBlocks.PortBlock) {
        for (const customer of plan.customers) {
            this.keys.set(customer.name, `sk-${crypto.randomBytes(16).toString("hex")}`);
        }
    }

    /** Starts all processes and resolves when each entry and agent is ready. */
    static async start(plan: Plan): Promise<Deployment> {
        const deployment = new Deployment(plan, await portBlocks.PortBlock.reserve());
        try {
            deployment.folder = await fs.mkdtemp(path.join(os.tmpdir(), "ibisstep-"));
            await deployment.startInfrastructure();
            await deployment.startBackends();
            await deployment.applyManifest(deployment.manifest());
            await deployment.startNodes();
            return deployment;
        }
        catch (error) {
            await deployment[Symbol.asyncDispose]();
            throw error;
        }
    }

    get entries(): readonly Node[] {
        return this.nodes.filter(node => node.role === "entry");
    }

    get agents(): readonly Node[] {
        return this.nodes.filter(node => node.role === "agent");
    }

    /** Manifest of the plan, without the keys of `revokedCustomers` and with `extraText` appended. */
    manifest(revokedCustomers: readonly string[] = [], extraText = ""): string {
        const customers = this.plan.customers.map(customer => {
            const hash = crypto.createHash("sha256").update(this.keys.get(customer.name) ?? "").digest("hex");
            return [
                "[[customers]]",
                `name = "${customer.name}"`,
                `key_hashes = [${revokedCustomers.includes(customer.name) ? "" : `"${hash}"`}]`,
                `rate = { requests_per_second = ${customer.requestsPerSecond}, burst = ${customer.burst} }`,
            ].join("\n");
        });
        const models = this.plan.models.map(model =>
            `[[models]]\nname = "${model}"\nweights_version = "${WEIGHTS_VERSION}"`
        );
        const servers = this.backends.map(backend =>
            [
                "[[backend_servers]]",
                `name = "${backend.name}"`,
                `data_centre = "${backend.dataCentre}"`,
                `kind = "${backend.kind}"`,
                `agent = "${backend.agentAddress}"`,
                backend.kind === "engine" ? `models = ["${backend.model}"]` : `service = "${BOOKING_SERVICE}"`,
            ].join("\n")
        );
        const routes = this.plan.bookingServices.length > 0 ? [BOOKING_ROUTES] : [];
        return [...customers, ...models, ...servers, ...routes, extraText].join("\n\n");
    }

    /** Writes the manifest with a conditional update and returns its version. Throws when the object API rejects it. */
    async applyManifest(text: string): Promise<number> {
        const precondition: Record<string, string> = this.manifestVersion === 0
            ? { "if-none-match": "*" }
            : { "if-match": `"${this.manifestVersion}"` };
        const response = await fetch(`${this.objectApi}/v1/objects/config/manifest`, {
            method: "PUT",
            headers: precondition,
            body: text,
        });
        if (!response.ok) {
            throw new Error(`the object API rejected the manifest: ${response.status} ${await response.text()}`);
        }
        this.manifestVersion = Number(response.headers.get("etag")?.replaceAll('"', ""));
        return this.manifestVersion;
    }

    /** Restarts a node at the same addresses after its process has ended, and waits until it is ready. */
    async restart(node: Node): Promise<void> {
        node.process = await this.launchNode(node);
        await this.waitUntilReady(node);
    }

    /** Restarts a backend server at the same address after its process has ended, and waits until it responds. */
    async restartBackend(name: string): Promise<void> {
        const backend = this.backend(name);
        backend.process = processes.launch(backend.name, backend.program, backend.parameters);
        await this.waitUntilBackendReady(backend);
    }

    backend(name: string): Backend {
        const found = this.backends.find(backend => backend.name === name);
        if (found === undefined) {
            throw new Error(`unknown backend server ${name}`);
        }
        return found;
    }

    node(name: string): Node {
        const found = this.nodes.find(node => node.name === name);
        if (found === undefined) {
            throw new Error(`unknown node ${name}`);
        }
        return found;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.nodes.map(node => node.process[Symbol.asyncDispose]()));
        await Promise.all(this.backends.map(backend => backend.process[Symbol.asyncDispose]()));
        await Promise.all(this.infrastructure.map(process => process[Symbol.asyncDispose]()));
        await this.ports[Symbol.asyncDispose]();
        await fs.rm(this.folder, { recursive: true, force: true });
    }

    private async startInfrastructure(): Promise<void> {
        const [objectPort, listPort] = this.ports.allocate(2);
        this.objectApi = `http://${HOST}:${objectPort}`;
        this.instanceList = `http://${HOST}:${listPort}`;
        this.infrastructure.push(
            processes.launch("object-api", "stand-ins/object-api/main", ["--port", String(objectPort)]),
            processes.launch("instance-list", "stand-ins/instance-list/main", ["--port", String(listPort)]),
        );
        await processes.waitUntil("start of the object API", START_TIMEOUT_MS, async () => {
            return (await fetch(`${this.objectApi}/v1/objects?prefix=`)).ok;
        });
        await processes.waitUntil("start of the instance list", START_TIMEOUT_MS, async () => {
            return (await fetch(`${this.instanceList}/v1/instances`)).ok;
        });
    }

    private async startBackends(): Promise<void> {
        const count = this.plan.engines.length + this.plan.bookingServices.length;
        const ports = this.ports.allocate(count * 3);
        const address = () => `${HOST}:${ports[this.backends.length * 3]}`;
        for (const engine of this.plan.engines) {
            const settings = { weights: [`${engine.model}@${WEIGHTS_VERSION}`], ...engine.settings };
            this.addBackend(ports, {
                name: engine.name,
                kind: "engine",
                model: engine.model,
                dataCentre: engine.dataCentre,
                program: "stand-ins/engine/main",
                parameters: ["--port", address().split(":")[1], "--settings", JSON.stringify(settings)],
            });
        }
        for (const [index, dataCentre] of this.plan.bookingServices.entries()) {
            this.addBackend(ports, {
                name: `booking-${index + 1}`,
                kind: "service",
                model: "",
                dataCentre,
                program: "stand-ins/booking-service/main",
                parameters: ["--port", address().split(":")[1]],
            });
        }
        await Promise.all(this.backends.map(backend => this.waitUntilBackendReady(backend)));
    }

    private addBackend(
        ports: readonly number[],
        plan: Omit<Backend, "address" | "agentAddress" | "healthAddress" | "process">,
    ): void {
        const [address, agentAddress, healthAddress] = ports
            .slice(this.backends.length * 3, this.backends.length * 3 + 3)
            .map(port => `${HOST}:${port}`);
        const process = processes.launch(plan.name, plan.program, plan.parameters);
        this.backends.push({ ...plan, address, agentAddress, healthAddress, process });
    }

    private async waitUntilBackendReady(backend: Backend): Promise<void> {
        await processes.waitUntil(`start of ${backend.name}`, START_TIMEOUT_MS, async () => {
            return (await fetch(`http://${backend.address}/healthz`)).status < 500;
        });
    }

    private async startNodes(): Promise<void> {
        const ports = this.ports.allocate(this.plan.entries.length * 2);
        const plans = [
            ...this.plan.entries.map((dataCentre, index) => ({
                name: `entry-${index + 1}`,
                role: "entry" as const,
                dataCentre,
                rpcAddress: `${HOST}:${ports[index * 2]}`,
                httpAddress: `${HOST}:${ports[index * 2 + 1]}`,
                backendServer: "",
                backendAddress: "",
            })),
            ...this.backends.map(backend => ({
                name: `agent-${backend.name}`,
                role: "agent" as const,
                dataCentre: backend.dataCentre,
                rpcAddress: backend.agentAddress,
                httpAddress: backend.healthAddress,
                backendServer: backend.name,
                backendAddress: backend.address,
            })),
        ];
        await this.publishInstances(plans);
        this.nodes.push(
            ...await Promise.all(plans.map(async plan => ({
                ...plan,
                process: await this.launchNode(plan, plans.map(node => node.rpcAddress)),
            }))),
        );
        await Promise.all(this.nodes.map(node => this.waitUntilReady(node)));
    }

    private async publishInstances(nodes: readonly Omit<Node, "process">[]): Promise<void> {
        const instances = nodes.map(node => ({
            address: node.rpcAddress,
            role: node.role,
            data_centre: node.dataCentre,
            state: "live",
        }));
        await fetch(`${this.instanceList}/control`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ instances }),
        });
    }

    private async launchNode(
        node: Omit<Node, "process">,
        seeds?: readonly string[],
    ): Promise<processes.LaunchedProcess> {
        const addresses = seeds ?? this.nodes.map(other => other.rpcAddress);
        const file = path.join(this.folder, `${node.name}.toml`);
        const lines = [
            `role = "${node.role}"`,
            `data_centre = "${node.dataCentre}"`,
            `rpc_address = "${node.rpcAddress}"`,
            ...(node.role === "entry" ? [`http_address = "${node.httpAddress}"`] : [
                `health_address = "${node.httpAddress}"`,
                `backend_server = "${node.backendServer}"`,
                `backend_kind = "${this.backend(node.backendServer).kind}"`,
                `backend_address = "${node.backendAddress}"`,
            ]),
            `object_api = "${this.objectApi}"`,
            `instance_list = "${this.instanceList}"`,
            `seeds = [${addresses.filter(address => address !== node.rpcAddress).map(text => `"${text}"`).join(", ")}]`,
        ];
        await fs.writeFile(file, `${lines.join("\n")}\n`);
        return processes.launch(node.name, processes.DAEMON_PROGRAM, ["--settings", file]);
    }

    private async waitUntilReady(node: Node): Promise<void> {
        await processes.waitUntil(`readiness of ${node.name}`, START_TIMEOUT_MS, async () => {
            return (await fetch(`http://${node.httpAddress}/readyz`)).ok;
        }).catch(error => {
            throw new Error(`${String(error)}\n${node.process.output().join("\n")}`);
        });
    }
}

const BOOKING_ROUTES = `[[routes]]
name = "book"
path = "/bookings"
methods = ["POST"]
service = "${BOOKING_SERVICE}"
idempotent = false
lookup_path = "/bookings/lookup/{key}"

[[routes]]
name = "guests"
path = "/bookings"
methods = ["GET"]
service = "${BOOKING_SERVICE}"
idempotent = true

[[routes]]
name = "run-counts"
path = "/runs"
methods = ["GET"]
service = "${BOOKING_SERVICE}"
idempotent = true
open = true`;
