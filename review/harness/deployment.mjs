/** A small deployment: a store, its entries as processes with the command of the deploy file, and loopback addresses. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import { ChannelProxy } from "./channel-proxy.mjs";
import { Store } from "./store.mjs";

const REPOSITORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
const START_TIMEOUT_MS = 30_000;

/** Bounds of the site falikep-prod, in force for all cases. */
export const BOUNDS = {
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
    retrySlack: 56,
    quotaWindowS: 8,
    quotaOvershoot: 0.1,
    quotaSlack: 72000,
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
    versionAllMs: 11000,
};

/** Ends a case that could not be run. */
export class NotRun extends Error {}

export function pause(durationMs) {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

export class Deployment {
    store = new Store();
    /** Loopback network of this run; the last number is that of the machine. */
    network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
    entries = [];
    agents = [];
    #folder = fs.mkdtempSync(path.join(os.tmpdir(), "ibisstep-review-"));
    #ports;
    #storePort;

    /**
     * Starts the store, the entries and the agents beside the model workers in `engines`. Each process reaches the store
     * through a proxy of its own.
     */
    async start(entryCount, configuration, servers, engines = []) {
        this.#ports = await freePorts(this.network, 6);
        this.#storePort = this.#ports[0];
        const storeHost = `${this.network}.200`;
        await this.store.listen(storeHost, this.#storePort);
        this.store.put("config", "main", configuration);
        servers.forEach(server => server.register());
        const hosts = Array.from({ length: entryCount }, (_, index) => `${this.network}.${10 + index}`);
        for (const [index, ip] of hosts.entries()) {
            this.entries.push({ name: `edge-buda-a-${index + 1}`, role: "entry", ip });
        }
        for (const [index, engine] of engines.entries()) {
            this.agents.push({ name: `side-buda-a-${index + 1}`, role: "agent", ip: engine.host, app: engine.address });
        }
        for (const [index, process] of [...this.entries, ...this.agents].entries()) {
            Object.assign(process, { proxyHost: `${this.network}.${100 + index}`, log: "", isEnded: false });
            process.proxy = new ChannelProxy();
            await process.proxy.listen(process.proxyHost, this.#storePort, storeHost, this.#storePort);
            this.#launch(process, hosts);
        }
        await Promise.all(this.entries.map(entry => this.#untilReady(entry)));
    }

    front(entry) {
        return { host: entry.ip, port: this.#ports[1] };
    }

    /** The lines that an entry has logged so far. */
    log(entry) {
        return entry.log.split("\n").filter(line => line.startsWith("{")).map(line => JSON.parse(line));
    }

    async stop() {
        const all = [...this.entries, ...this.agents];
        for (const { process: child, proxy } of all) {
            child?.kill("SIGKILL");
            proxy?.close();
        }
        await Promise.all(all.map(({ ended }) => ended));
        this.store.close();
        fs.rmSync(this.#folder, { recursive: true, force: true });
    }

    #launch(entry, hosts) {
        const file = path.join(this.#folder, `${entry.name}.toml`);
        fs.writeFileSync(file, this.#settings(entry, hosts));
        const [program, ...words] = commandOf(entry.role);
        entry.process = childProcess.spawn(program, words, {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, IBISSTEP_BOOT: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        entry.process.stdout.on("data", text => void (entry.log += text));
        entry.process.stderr.on("data", text => void (entry.log += text));
        entry.ended = new Promise(resolve => {
            entry.process.on("exit", (code, signal) => {
                entry.isEnded = true;
                entry.endedAt = performance.now();
                resolve({ code, signal });
            });
        });
    }

    #settings(entry, hosts) {
        const [storePort, front, ready, control, firstInternal] = this.#ports;
        const listen = `front = "${entry.ip}:${front}"\nready = "${entry.ip}:${ready}"\ncontrol = "${entry.ip}:${control}"`;
        const bounds = Object.entries(BOUNDS).map(([name, value]) => `${name} = ${value}`).join("\n");
        return `
nodeName = "${entry.name}"
role = "${entry.role}"
machineClass = "${entry.role === "entry" ? "edge" : "side"}"
serves = [${entry.role === "entry" ? '"edge","control_plane"' : '"side"'}]
ip = "${entry.ip}"
zone = "buda-a"
region = "hu-central"
internalPorts = [${firstInternal},${firstInternal + 1}]
seeds = [${hosts.map(host => `"${host}:${control}"`).join(",")}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
${entry.app === undefined ? "" : `app = "${entry.app}"`}
[zones]
buda-a = "hu-central"
[listen]
${entry.role === "entry" ? listen : ""}
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
${bounds}
[platform]
address = "${entry.proxyHost}:${storePort}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
    }

    async #untilReady(entry) {
        const endsAt = performance.now() + START_TIMEOUT_MS;
        while (performance.now() < endsAt && !entry.isEnded) {
            const status = await fetch(`http://${entry.ip}:${this.#ports[2]}/-/ready`).then(
                response => response.status,
                () => 0,
            );
            if (status === 200) {
                return;
            }
            await pause(50);
        }
        throw new NotRun(`${entry.name} did not become ready: ${entry.log.slice(0, 500)}`);
    }
}

/** The command of a role in the deploy file, split at spaces as the platform does. */
function commandOf(role) {
    const text = fs.readFileSync(path.join(REPOSITORY, "deploy/system.toml"), "utf8");
    const command = new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]+)"`).exec(text)?.[1];
    if (command === undefined || !fs.existsSync(path.join(REPOSITORY, "target/ibisstep.js"))) {
        throw new NotRun("run the build command of deploy/system.toml first");
    }
    return command.split(" ");
}

/** Ports that are free in the network of this run: the first five of a block, and one more. */
async function freePorts(network, count) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const first = 20_000 + Math.floor(Math.random() * 10_000);
        const ports = Array.from({ length: count }, (_, index) => first + index);
        const areFree = await Promise.all(ports.map(port => isFree(`${network}.10`, port)));
        if (areFree.every(Boolean)) {
            return ports;
        }
    }
    throw new NotRun("no free ports");
}

function isFree(host, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}
