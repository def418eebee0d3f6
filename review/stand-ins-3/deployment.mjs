/** A small deployment on loopback addresses: the project's store stand-in, and its own programs as separate processes. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

const REPOSITORY = path.resolve(import.meta.dirname, "../..");
const REGION = "niederoest";
const ZONES = ["noe-1", "noe-2", "noe-3"];
/** The bounds of the Mittagstisch sheet. */
const BOUNDS = {
    seedLagS: 3,
    addrReuseS: 2,
    contactMs: 3000,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    skewMaxMs: 5000,
    revokeStrict: false,
    revokeMs: 5000,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    retrySlack: 52,
    quotaWindowS: 8,
    quotaOvershoot: 0.1,
    quotaSlack: 110_000,
    exposureShare: 0.1,
    exposureSlack: 50,
    rollbackMs: 5000,
    recoveryS: 12,
    transitMs: 120,
    reuseWindowS: 10,
    fencingEnforced: false,
    leaseMs: 3000,
    thawMs: 300,
    versionMs: 8000,
    versionAllMs: 11_000,
};
const CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "kvcache",
    "stream",
    "engine",
    "tenants",
    "quota",
    "rollout",
    "platform",
];
/** Time in milliseconds after which a process that has ended is started again. */
const RESTART_MS = 200;
const READY_TIMEOUT_MS = 15_000;

export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Commands of the deploy file, by role. */
function deployCommands() {
    const text = fs.readFileSync(path.join(REPOSITORY, "deploy/system.toml"), "utf8");
    const matches = [...text.matchAll(/\[roles\.(\w+)\]\s+run = "([^"]+)"/g)];
    return new Map(matches.map(match => [match[1], match[2].split(" ")]));
}

/** A port that is free on all addresses now. */
function freePort() {
    return new Promise((resolve, reject) => {
        const server = net.createServer().once("error", reject);
        server.listen(0, "0.0.0.0", () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Two free ports, one after the other. */
async function freePortPair() {
    for (;;) {
        const port = await freePort();
        const isNextFree = await new Promise(resolve => {
            const server = net.createServer().once("error", () => resolve(false));
            server.listen(port + 1, "0.0.0.0", () => server.close(() => resolve(true)));
        });
        if (isNextFree) {
            return port;
        }
    }
}

class Machine {
    constructor(deployment, { role, name, ip, zone, workerAddress }) {
        Object.assign(this, { deployment, role, name, ip, zone, workerAddress });
        this.isWanted = false;
        /** Starts of the process in milliseconds of `performance.now`. */
        this.starts = [];
    }

    get frontAddress() {
        return `${this.ip}:${this.deployment.ports.front}`;
    }

    start() {
        this.isWanted = true;
        const { deployment } = this;
        const settings = path.join(deployment.folder, `${this.name}.toml`);
        fs.writeFileSync(settings, deployment.settingsOf(this));
        const [program, ...words] = deployment.commands.get(this.role);
        const log = fs.openSync(path.join(deployment.folder, `${this.name}.log`), "a");
        this.starts.push(performance.now());
        this.process = childProcess.spawn(program, words, {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", IBISSTEP_BOOT: settings },
            stdio: ["ignore", log, log],
        });
        fs.closeSync(log);
        this.process.once("exit", (code, signal) => {
            deployment.record(`${this.name} ended: ${signal ?? `status ${code}`}`);
            this.process = undefined;
            if (this.isWanted) {
                setTimeout(() => this.isWanted && this.process === undefined && this.start(), RESTART_MS);
            }
        });
        deployment.record(`${this.name} started`);
    }

    /** Sends a signal; the process is started again if it ends. */
    signal(name) {
        this.deployment.record(`${this.name} gets ${name}`);
        this.process?.kill(name);
    }

    async stop() {
        this.isWanted = false;
        const ended = this.process;
        if (ended !== undefined) {
            await new Promise(resolve => {
                ended.once("exit", resolve);
                ended.kill("SIGKILL");
            });
        }
    }

    /** Resolves when the readiness check succeeds. */
    async ready(timeoutMs = READY_TIMEOUT_MS) {
        const endsAt = performance.now() + timeoutMs;
        while (performance.now() < endsAt) {
            const status = await fetch(`http://${this.ip}:${this.deployment.ports.ready}/-/ready`)
                .then(response => response.status, () => 0);
            if (status === 200) {
                return;
            }
            await pause(50);
        }
        throw new Error(`${this.name} does not become ready`);
    }

    log() {
        return fs.readFileSync(path.join(this.deployment.folder, `${this.name}.log`), "utf8");
    }
}

export class Deployment {
    /** `folder` of the case; the record is written there. */
    constructor(folder) {
        this.startedAt = performance.now();
        this.recordFile = fs.openSync(path.join(folder, "record.txt"), "w");
        this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"));
        this.commands = deployCommands();
        this.machines = [];
        this.closers = [];
        const [high, low] = [1 + process.pid % 250, 1 + Math.floor(process.pid / 250) % 250];
        this.network = `127.${high}.${low}`;
    }

    async open(storeOptions = {}) {
        const { Store } = await import(path.join(REPOSITORY, "target/review-3/store.mjs"));
        this.ports = {
            internal: await freePortPair(),
            front: await freePort(),
            ready: await freePort(),
            control: await freePort(),
            worker: await freePort(),
        };
        this.store = new Store(`${this.network}.250:${await freePort()}`, { responseMs: 4, ...storeOptions });
        await this.store.listen();
        this.closers.push(() => this.store[Symbol.asyncDispose]());
    }

    /** Writes a line with the time in seconds since the start. */
    record(text) {
        const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
        fs.writeSync(this.recordFile, `${seconds.padStart(8)} ${text}\n`);
    }

    addEntry() {
        const number = this.machines.filter(({ role }) => role === "entry").length;
        return this.add({ role: "entry", name: `edge-${number + 1}`, ip: `${this.network}.${10 + number}` }, number);
    }

    addAgent(workerAddress) {
        const number = this.machines.filter(({ role }) => role === "agent").length;
        const ip = workerAddress.split(":")[0];
        return this.add({ role: "agent", name: `side-${number + 1}`, ip, workerAddress }, number);
    }

    add(machine, number) {
        const added = new Machine(this, { ...machine, zone: ZONES[number % ZONES.length] });
        this.machines.push(added);
        return added;
    }

    /** IP:PORT of the worker with this number. */
    workerAddress(number) {
        return `${this.network}.${100 + number}:${this.ports.worker}`;
    }

    settingsOf({ role, name, ip, zone, workerAddress }) {
        const { front, ready, control, internal } = this.ports;
        const isEntry = role === "entry";
        const seeds = this.machines.filter(machine => machine.role === "entry").slice(0, 3)
            .map(machine => `"${machine.ip}:${control}"`);
        return [
            `nodeName = "${name}"`,
            `role = "${role}"`,
            `machineClass = "${isEntry ? "edge" : "side"}"`,
            `serves = [${isEntry ? '"edge","control_plane"' : '"side"'}]`,
            `ip = "${ip}"`,
            `zone = "${zone}"`,
            `region = "${REGION}"`,
            `internalPorts = [${internal},${internal + 1}]`,
            `seeds = [${seeds.join(",")}]`,
            "bootstrap = true",
            "faultCounted = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            `contracts = [${CONTRACTS.map(contract => `"${contract}"`).join(",")}]`,
            ...isEntry ? [] : [`app = "${workerAddress}"`],
            "[zones]",
            ...ZONES.map(name => `${name} = "${REGION}"`),
            "[listen]",
            ...isEntry ? [`front = "${ip}:${front}"`, `ready = "${ip}:${ready}"`, `control = "${ip}:${control}"`] : [],
            "[limits]",
            `cpuShare = ${isEntry ? 0.513 : 0.54}`,
            "cores = 1",
            `memoryMb = ${isEntry ? 200 : 282}`,
            `maxFds = ${isEntry ? 4200 : 4096}`,
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[faultTolerance]",
            "machines = 2",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
            "[platform]",
            `address = "${this.store.address}"`,
            'form = "objects"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
            "",
        ].join("\n");
    }

    /** Ends all processes and stand-ins, and removes the temporary folder. */
    async close() {
        await Promise.all(this.machines.map(machine => machine.stop()));
        for (const close of this.closers.reverse()) {
            await close();
        }
        if (process.env.KEEP === undefined) {
            fs.rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/**
 * Runs a case: `play` returns why the rule was broken, or undefined if it held. Exits with 1, 0, or 2 if the case could not
 * run.
 */
export async function run(folder, play) {
    const deployment = new Deployment(folder);
    const hasTrouble = process.env.TROUBLE !== "0";
    let status = 2;
    try {
        await deployment.open();
        const broken = await play(deployment, hasTrouble);
        status = broken === undefined ? 0 : 1;
        deployment.record(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
        console.log(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
    }
    catch (error) {
        deployment.record(`the case could not run: ${error.stack}`);
        console.log(`the case could not run: ${error.message}`);
    }
    finally {
        await deployment.close();
    }
    process.exit(status);
}
