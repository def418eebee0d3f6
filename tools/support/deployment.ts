/** A small deployment on loopback: stand-ins, entries and agents as separate processes. */
import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as portBlocks from "./ports.js";
import * as processes from "./processes.js";

const START_LIMIT_MS = 20_000;
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

/** Process of the product with what is needed to start it again. */
export interface Node {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly rpcAddress: string;
    /** Address for callers of an entry, or of the health endpoints of an agent. */
    readonly httpAddress: string;
    readonly backendServer: string;
    readonly backendAddress: string;
    process: processes.Launched;
}

interface Backend {
    readonly name: string;
    readonly kind: "engine" | "service";
    readonly model: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly agentAddress: string;
    readonly healthAddress: string;
    readonly program: string;
    readonly parameters: readonly string[];
    process: processes.Launched;
}

const WEIGHTS_VERSION = "v1";
const BOOKING_SERVICE = "booking";

export class Deployment implements AsyncDisposable {
    readonly keys = new Map<string, string>();
    readonly nodes: Node[] = [];
    readonly backends: Backend[] = [];
    objectApi = "";
    instanceList = "";
    private manifestVersion = 0;
    private folder = "";
    private readonly platform: processes.Launched[] = [];

    private constructor(private readonly plan: Plan, private readonly ports: portBlocks.PortBlock) {
        for (const customer of plan.customers) {
            this.keys.set(customer.name, `sk-${crypto.randomBytes(16).toString("hex")}`);
        }
    }

    /** Starts everything and resolves when each entry and agent is ready. */
    static async start(plan: Plan): Promise<Deployment> {
        const deployment = new Deployment(plan, await portBlocks.PortBlock.reserve());
        try {
            deployment.folder = await fs.mkdtemp(path.join(os.tmpdir(), "ibisstep-"));
            await deployment.startPlatform();
            await deployment.startBackends();
            await deployment.apply(deployment.manifest());
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

    /** Manifest of the plan; `withoutKeysOf` names customers whose keys are revoked. */
    manifest(withoutKeysOf: readonly string[] = [], extra = ""): string {
        const customers = this.plan.customers.map(customer => {
            const hash = crypto.createHash("sha256").update(this.keys.get(customer.name) ?? "").digest("hex");
            return [
                "[[customers]]",
                `name = "${customer.name}"`,
                `key_hashes = [${withoutKeysOf.includes(customer.name) ? "" : `"${hash}"`}]`,
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
        const routes = this.plan.bookingServices.length > 0 ? [ROUTES] : [];
        return [...customers, ...models, ...servers, ...routes, extra].join("\n\n");
    }

    /** Writes a manifest by conditional update. */
    async apply(text: string): Promise<number> {
        const condition: Record<string, string> = this.manifestVersion === 0
            ? { "if-none-match": "*" }
            : { "if-match": `"${this.manifestVersion}"` };
        const response = await fetch(`${this.objectApi}/v1/objects/config/manifest`, {
            method: "PUT",
            headers: condition,
            body: text,
        });
        if (!response.ok) {
            throw new Error(`the object API refused the manifest: ${response.status} ${await response.text()}`);
        }
        this.manifestVersion = Number(response.headers.get("etag")?.replaceAll('"', ""));
        return this.manifestVersion;
    }

    /** Starts a node again at its addresses, after its process has ended. */
    async restart(node: Node): Promise<void> {
        node.process = await this.launchNode(node);
        await this.ready(node);
    }

    /** Starts a backend server again at its address, after its process has ended. */
    async restartBackend(name: string): Promise<void> {
        const backend = this.backend(name);
        backend.process = processes.launch(backend.name, backend.program, backend.parameters);
        await this.backendReady(backend);
    }

    backend(name: string): Backend {
        const found = this.backends.find(backend => backend.name === name);
        if (found === undefined) {
            throw new Error(`no backend server ${name}`);
        }
        return found;
    }

    node(name: string): Node {
        const found = this.nodes.find(node => node.name === name);
        if (found === undefined) {
            throw new Error(`no node ${name}`);
        }
        return found;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.nodes.map(node => node.process[Symbol.asyncDispose]()));
        await Promise.all(this.backends.map(backend => backend.process[Symbol.asyncDispose]()));
        await Promise.all(this.platform.map(process => process[Symbol.asyncDispose]()));
        await this.ports[Symbol.asyncDispose]();
        await fs.rm(this.folder, { recursive: true, force: true });
    }

    private async startPlatform(): Promise<void> {
        const [objectPort, listPort] = this.ports.take(2);
        this.objectApi = `http://${HOST}:${objectPort}`;
        this.instanceList = `http://${HOST}:${listPort}`;
        this.platform.push(
            processes.launch("object-api", "stand-ins/object-api/main", ["--port", String(objectPort)]),
            processes.launch("instance-list", "stand-ins/instance-list/main", ["--port", String(listPort)]),
        );
        await processes.waitUntil("start of the object API", START_LIMIT_MS, async () => {
            return (await fetch(`${this.objectApi}/v1/objects?prefix=`)).ok;
        });
        await processes.waitUntil("start of the instance list", START_LIMIT_MS, async () => {
            return (await fetch(`${this.instanceList}/v1/instances`)).ok;
        });
    }

    private async startBackends(): Promise<void> {
        const count = this.plan.engines.length + this.plan.bookingServices.length;
        const ports = this.ports.take(count * 3);
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
        await Promise.all(this.backends.map(backend => this.backendReady(backend)));
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

    private async backendReady(backend: Backend): Promise<void> {
        await processes.waitUntil(`start of ${backend.name}`, START_LIMIT_MS, async () => {
            return (await fetch(`http://${backend.address}/healthz`)).status < 500;
        });
    }

    private async startNodes(): Promise<void> {
        const ports = this.ports.take(this.plan.entries.length * 2);
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
        await this.list(plans);
        this.nodes.push(
            ...await Promise.all(plans.map(async plan => ({
                ...plan,
                process: await this.launchNode(plan, plans.map(node => node.rpcAddress)),
            }))),
        );
        await Promise.all(this.nodes.map(node => this.ready(node)));
    }

    private async list(nodes: readonly Omit<Node, "process">[]): Promise<void> {
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

    private async launchNode(node: Omit<Node, "process">, seeds?: readonly string[]): Promise<processes.Launched> {
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
        return processes.launch(node.name, processes.DAEMON, ["--settings", file]);
    }

    private async ready(node: Node): Promise<void> {
        await processes.waitUntil(`readiness of ${node.name}`, START_LIMIT_MS, async () => {
            return (await fetch(`http://${node.httpAddress}/readyz`)).ok;
        }).catch(error => {
            throw new Error(`${String(error)}\n${node.process.output().join("\n")}`);
        });
    }
}

const ROUTES = `[[routes]]
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
