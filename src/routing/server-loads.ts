/** What an entry estimates of the load of the servers from its own requests and from reports in replies. */
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

/** Weight of the initial prefill time against observed tokens. */
const PRIOR_TOKENS = 20_000;
/** Factor by which older observations of the prefill time lose weight with each reply. */
const FORGETTING = 0.995;

interface Waiting {
    readonly sentAt: number;
    readonly tokens: number;
    readonly queuedTokensAhead: number;
    readonly networkMs: number;
}

interface Server {
    /** Own requests without a first token, by request and attempt. */
    readonly waiting: Map<string, Waiting>;
    reportedTokens: number;
    reportedAt: number;
}

/** Load estimates of all servers of one model at one entry. Times are in milliseconds. */
export class ServerLoads {
    private readonly servers = new Map<string, Server>();
    private observedMs: number;
    private observedTokens = PRIOR_TOKENS;

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {
        this.observedMs = PRIOR_TOKENS * settings.initialPrefillMsPerToken;
    }

    /** Notes a request that is being sent, with the prompt tokens that the server is expected to compute. */
    sent(address: string, attemptId: string, uncachedTokens: number, networkMs: number, now: number): void {
        const queuedTokensAhead = this.queuedTokens(address, now);
        const waiting = { sentAt: now, tokens: uncachedTokens, queuedTokensAhead, networkMs };
        this.serverOf(address).waiting.set(attemptId, waiting);
    }

    /** Notes the first token of a request and corrects the prefill time. */
    started(address: string, attemptId: string, computedTokens: number, report: types.LoadReport, now: number): void {
        const server = this.serverOf(address);
        const waiting = server.waiting.get(attemptId);
        server.waiting.delete(attemptId);
        if (waiting !== undefined) {
            const elapsedMs = Math.max(0, now - waiting.sentAt - waiting.networkMs);
            this.observedMs = this.observedMs * FORGETTING + elapsedMs;
            this.observedTokens = this.observedTokens * FORGETTING + waiting.queuedTokensAhead + computedTokens;
        }
        this.reported(address, report, now);
    }

    /** Notes that a request ended or failed before its first token, or was redirected. */
    abandoned(address: string, attemptId: string): void {
        this.servers.get(address)?.waiting.delete(attemptId);
    }

    /** Takes a load report of a server. */
    reported(address: string, report: types.LoadReport, now: number): void {
        const server = this.serverOf(address);
        server.reportedTokens = report.queuedTokens;
        server.reportedAt = now;
    }

    /** Drops the state of servers that are no longer members. */
    retain(addresses: ReadonlySet<string>): void {
        for (const address of this.servers.keys()) {
            if (!addresses.has(address)) {
                this.servers.delete(address);
            }
        }
    }

    /** Expected prompt tokens that the server computes before a request sent now. */
    queuedTokens(address: string, now: number): number {
        const server = this.servers.get(address);
        if (server === undefined) {
            return 0;
        }
        const drained = (now - server.reportedAt) * this.settings.drainShare / this.prefillMsPerToken;
        const remaining = Math.max(0, server.reportedTokens - drained);
        const waiting = [...server.waiting.values()];
        const own = waiting.reduce((sum, request) => sum + request.tokens, 0);
        const unreported = waiting.reduce(
            (sum, request) => sum + (request.sentAt >= server.reportedAt ? request.tokens : 0),
            0,
        );
        return Math.max(own, remaining + unreported);
    }

    /**
     * Time that the servers take to compute a prompt token, in milliseconds. It is one value for all servers: values
     * per server absorb the errors of the queue estimates and draw requests away from their homes.
     */
    get prefillMsPerToken(): number {
        return this.observedMs / this.observedTokens;
    }

    private serverOf(address: string): Server {
        const server = this.servers.get(address) ?? {
            waiting: new Map<string, Waiting>(),
            reportedTokens: 0,
            reportedAt: Number.MIN_SAFE_INTEGER,
        };
        this.servers.set(address, server);
        return server;
    }
}
