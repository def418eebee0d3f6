// Starts the project's programs with the commands of the deploy file, on free loopback ports, and ends them.
import { spawn } from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const repository = fileURLToPath(new URL("../../", import.meta.url));
const children = new Set();

/** Bounds of sites/mittagstisch.toml, as the sheet and `fleetbench wire` give them. */
const BOUNDS = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 52
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 110000
exposureShare = 0.1
exposureSlack = 50
rollbackMs = 5000
recoveryS = 12
transitMs = 120
reuseWindowS = 10
fencingEnforced = false
leaseMs = 3000
thawMs = 300
versionMs = 8000
versionAllMs = 11000`;

export function temporaryFolder(name) {
    return fs.mkdtempSync(path.join(os.tmpdir(), `${name}-`));
}

/** A port that is free on the address, together with the one after it if `pair` is set. */
export async function freePort(host, pair = false) {
    for (;;) {
        const port = await tryListen(host, 0);
        if (port !== undefined && port < 60_000 && (!pair || await tryListen(host, port + 1) !== undefined)) {
            return port;
        }
    }
}

function tryListen(host, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, host, () => {
            const taken = server.address().port;
            server.close(() => resolve(taken));
        });
    });
}

/** Command of a role, read from deploy/system.toml. */
export function commandOf(role) {
    const text = fs.readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1] ?? "";
    return /run = "([^"]*)"/.exec(section)[1].split(" ");
}

export function settingsText({ role, name, ip, zone, zones, store, port, front, ready, app, seeds, bootstrap = true, contracts, memoryMb, service }) {
    const isEntry = role === "entry";
    return `nodeName = "${name}"
role = "${role}"
machineClass = "${isEntry ? "edge" : "side"}"
serves = [${isEntry ? "\"edge\",\"control_plane\"" : "\"side\""}]
ip = "${ip}"
zone = "${zone}"
region = "niederoest"
internalPorts = [${port},${port + 15}]
seeds = [${seeds.map(seed => `"${seed}"`).join(",")}]
bootstrap = ${bootstrap}
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = [${contracts.map(contract => `"${contract}"`).join(",")}]
${isEntry ? "" : `app = "${app}"\nservice = "${service}"\n`}
[zones]
${zones.map(each => `${each} = "niederoest"`).join("\n")}

[listen]
${isEntry ? `front = "${front}"\nready = "${ready}"\ncontrol = "${ip}:9"` : ""}

[limits]
cpuShare = ${isEntry ? 0.513 : 0.54}
cores = 1
memoryMb = ${memoryMb ?? (isEntry ? 200 : 282)}
maxFds = ${isEntry ? 4200 : 4096}
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 2
zones = 0
regions = 0

[bounds]
${BOUNDS}

[platform]
address = "${store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

export const CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "rollout", "platform"];

/** Starts a program of the project. Its log goes to a file of the folder. */
export function startProgram(folder, options) {
    const settingsPath = path.join(folder, `${options.name}.toml`);
    fs.writeFileSync(settingsPath, settingsText(options));
    const [program, ...args] = commandOf(options.role);
    const logPath = path.join(folder, `${options.name}.log`);
    const log = fs.openSync(logPath, "a");
    const child = spawn(program, args, {
        cwd: repository,
        stdio: ["ignore", log, log],
        env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", IBISSTEP_BOOT: settingsPath },
    });
    children.add(child);
    const running = { child, settingsPath, logPath, options, exited: false, exit: undefined };
    child.on("exit", (code, signal) => {
        running.exited = true;
        running.exit = signal ?? code;
        children.delete(child);
    });
    return running;
}

/** Starts a stand-in of the review as a process of its own. */
export function startStandIn(file, argument) {
    const child = spawn(process.execPath, [file, JSON.stringify(argument)], { stdio: ["pipe", "pipe", "inherit"], cwd: repository });
    children.add(child);
    child.on("exit", () => children.delete(child));
    child.stdin.on("error", () => undefined);
    return child;
}

/** Ends all processes that this script started. */
export function endAll() {
    for (const child of children) {
        child.kill("SIGKILL");
    }
}

for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => {
        endAll();
        process.exit(2);
    });
}
process.on("exit", endAll);

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function until(condition, limitMs, what) {
    const endsAt = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`timed out: ${what}`);
        }
        await pause(50);
    }
}

/** Writes record.txt in the folder of the case. */
export class Recorder {
    constructor(folder) {
        this.startedAt = performance.now();
        this.path = path.join(folder, "record.txt");
        fs.writeFileSync(this.path, "");
        this.lines = [];
    }

    note(text) {
        const line = `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`;
        this.lines.push(line);
        if (this.lines.length > 200) {
            this.flush();
        }
    }

    flush() {
        fs.appendFileSync(this.path, this.lines.join(""));
        this.lines = [];
    }
}
