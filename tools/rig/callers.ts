/** Callers: regular ones, which reach the entries as through a load balancer, and direct ones, which look at each entry. */
import * as http from "node:http";
import * as net from "node:net";
import * as standIns from "../../stand-ins/platform/http-stand-in.js";
import * as configurations from "./configurations.js";
import type * as deployments from "./deployment.js";
import type * as randoms from "./random.js";

const OUTPUT_TOKENS = 8;
/** Time in milliseconds for which a caller waits for the rest after the deadline of its call. */
const PATIENCE_MS = 2500;
const CALLERS_PER_ZONE = 4;
const CALLER_PAUSE_MS = 250;
const DIRECT_PAUSE_MS = 400;
/** Number of calls after which a caller opens another connection. */
const CALLS_PER_CONNECTION = 40;
/** Share of the calls without a model that last longer than the timeout of their route. */
const SLOW_SHARE = 0.01;
const SLOW_MARK = "slow";
export const SLOW_WORK_MS = 2500;

/** A call and how it ended; times are in milliseconds of the monotonic clock. */
export interface Call {
    readonly id: string;
    readonly entry: string;
    /** Number of starts of the entry's process when the call was sent. */
    readonly life: number;
    readonly isDirect: boolean;
    readonly route: string;
    readonly key: string;
    readonly timeoutMs: number;
    readonly mayRunAgain: boolean;
    readonly sentAt: number;
    /** Status; undefined when the connection ended before the head of a response. */
    status: number | undefined;
    /** The whole response was received. */
    isComplete: boolean;
    isBodyRight: boolean;
    /** The caller gave up. */
    isAbandoned: boolean;
    error: string | undefined;
    endedAt: number | undefined;
}

export function isSlow(request: http.IncomingMessage): boolean {
    return request.url?.includes(SLOW_MARK) ?? false;
}

interface Sender {
    readonly entry: deployments.Machine;
    readonly agent: http.Agent;
    readonly isDirect: boolean;
}

export class Callers {
    readonly calls: Call[] = [];
    private isOver = false;
    private count = 0;
    private readonly loops: Promise<void>[] = [];

    constructor(
        private readonly deployment: deployments.Deployment,
        private readonly book: configurations.ConfigurationBook,
        private readonly random: randoms.Random,
    ) {}

    start(): void {
        const { entries } = this.deployment;
        for (const zone of new Set(entries.map(entry => entry.zone))) {
            for (let index = 0; index < CALLERS_PER_ZONE; index++) {
                this.loops.push(this.callRegularly(zone));
            }
        }
        this.loops.push(...entries.map(entry => this.callDirectly(entry)));
    }

    async stop(): Promise<void> {
        this.isOver = true;
        await Promise.all(this.loops);
    }

    /** Sends bytes that are no proper request, on a connection of its own, and waits for its end. */
    async sendBytes(entry: deployments.Machine, bytes: string): Promise<void> {
        await new Promise<void>(resolve => {
            const socket = net.connect(this.deployment.front(entry));
            const timer = setTimeout(() => socket.destroy(), PATIENCE_MS);
            socket.on("error", () => undefined);
            socket.on("data", () => socket.end());
            socket.on("close", () => {
                clearTimeout(timer);
                resolve();
            });
            socket.write(bytes);
        });
    }

    nextId(): string {
        return `${(++this.count).toString(16).padStart(8, "0")}${this.random.integer(0, 0xFFFF).toString(16)}`;
    }

    /** Load balancer: entries of the zone that are in rotation, all of the zone if fewer than half are. */
    private candidates(zone: string): readonly deployments.Machine[] {
        const inZone = this.deployment.entries.filter(entry => entry.zone === zone && !entry.isRemoved);
        const ready = inZone.filter(entry => entry.isInRotation);
        const elsewhere = this.deployment.entries.filter(entry => entry.isInRotation);
        if (ready.length === 0 && elsewhere.length > 0) {
            return elsewhere;
        }
        return ready.length * 2 < inZone.length ? inZone : ready;
    }

    private async callRegularly(zone: string): Promise<void> {
        while (!this.isOver) {
            const candidates = this.candidates(zone);
            if (candidates.length === 0) {
                await standIns.pause(CALLER_PAUSE_MS);
                continue;
            }
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            const sender = { entry: this.random.pick(candidates), agent, isDirect: false };
            const { life } = sender.entry;
            for (let index = 0; index < CALLS_PER_CONNECTION && !this.isOver && sender.entry.life === life; index++) {
                const route = this.random.pick(configurations.BASE_ROUTES);
                const call = await this.send(sender, { path: route.path, key: configurations.PERMANENT_KEY });
                await standIns.pause(this.random.between(0, 2 * CALLER_PAUSE_MS));
                const isOpen = Object.keys(agent.freeSockets).length > 0;
                if (!call.isComplete || !isOpen) {
                    break;
                }
            }
            agent.destroy();
        }
    }

    /** Uses its connections until the process is gone, also during a planned stop. */
    private async callDirectly(entry: deployments.Machine): Promise<void> {
        const agent = new http.Agent({ keepAlive: true });
        const pending = new Set<Promise<Call>>();
        await standIns.pause(this.random.between(0, DIRECT_PAUSE_MS));
        while (!this.isOver && (!entry.isRemoved || entry.isRunning)) {
            if (entry.isRunning && (entry.isInRotation || Object.keys(agent.freeSockets).length > 0)) {
                const subject = this.random.chance(0.25)
                    ? { path: "/look/", key: configurations.PERMANENT_KEY }
                    : this.random.pick(this.book.recentSubjects);
                const call = this.send({ entry, agent, isDirect: true }, subject);
                pending.add(call);
                void call.then(() => pending.delete(call));
            }
            await standIns.pause(this.random.between(0.5, 1.5) * DIRECT_PAUSE_MS);
        }
        await Promise.all(pending);
        agent.destroy();
    }

    private send({ entry, agent, isDirect }: Sender, { path, key }: configurations.Subject): Promise<Call> {
        const route = this.book.current.routes.get(path);
        const isStream = route?.kind === "streaming";
        const isPost = isStream || route?.kind === "non_idempotent";
        const id = this.nextId();
        const timeoutMs = route?.timeoutMs ?? 800;
        const isLong = !isStream && !isDirect && this.random.chance(SLOW_SHARE);
        const call: Call = {
            id,
            entry: entry.name,
            life: entry.life,
            isDirect,
            route: path,
            key,
            timeoutMs,
            mayRunAgain: route?.kind === "idempotent" || route?.isResumable === true || route === undefined,
            sentAt: performance.now(),
            status: undefined,
            isComplete: false,
            isBodyRight: true,
            isAbandoned: false,
            error: undefined,
            endedAt: undefined,
        };
        this.calls.push(call);
        const options = {
            ...this.deployment.front(entry),
            method: isPost ? "POST" : "GET",
            path: `${path}${isLong ? SLOW_MARK : "item"}-${id}`,
            agent,
            headers: this.headers(id, key, isStream, timeoutMs + PATIENCE_MS / 2),
        };
        return new Promise(resolve => {
            const request = http.request(options);
            const timer = setTimeout(() => {
                call.isAbandoned = true;
                request.destroy();
            }, timeoutMs + PATIENCE_MS);
            const finish = () => {
                clearTimeout(timer);
                call.endedAt ??= performance.now();
                resolve(call);
            };
            request.on("error", error => {
                call.error ??= (error as NodeJS.ErrnoException).code ?? error.message;
                finish();
            });
            request.on("response", response => {
                call.status = response.statusCode;
                let body = "";
                response.setEncoding("utf8");
                response.on("data", (text: string) => body += text);
                response.on("error", () => undefined);
                response.on("close", () => {
                    call.isComplete = response.complete;
                    call.isBodyRight = call.status !== 200 || !call.isComplete || body === expectedBody(id, isStream);
                    finish();
                });
            });
            request.end(isPost ? "x".repeat(600) : undefined);
        });
    }

    private headers(id: string, key: string, isStream: boolean, deadlineMs: number): Record<string, string> {
        return {
            "Host": configurations.HOST,
            "Request-Id": id,
            "Authorization": `Bearer ${key}`,
            "Deadline-Ms": String(Math.round(deadlineMs)),
            ...isStream
                ? {
                    "Model": configurations.MODEL,
                    "Token-Count": `2890,${OUTPUT_TOKENS}`,
                    "Prompt-Prefix": `a${this.random.integer(1, 4)}:1200,b${this.random.integer(1, 60)}:1400,${id}:290`,
                }
                : {},
        };
    }
}

function expectedBody(id: string, isStream: boolean): string {
    const events = Array.from(
        { length: OUTPUT_TOKENS },
        (_, index) => `id: ${index + 1}\ndata: ${id}/${index + 1}\n\n`,
    );
    return isStream ? events.join("") : id;
}
