/** What an entry estimates of the load of the servers from its own requests and from reports in replies. */
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

/** Weight of the initial prefill time against observed tokens. */
const PRIOR_TOKENS = 20_000;
/** Factor by which older observations of the prefill time lose weight with each reply. */
const FORGETTING = 0.98;

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
    observedMs: number;
    observedTokens: number;
}

/** Load estimates of all servers of one entry. Times are in milliseconds. */
export class ServerLoads {
    private readonly servers = new Map<string, Server>();

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {}

    /** Notes a request that is being sent, with the prompt tokens that the server is expected to compute. */
    sent(address: string, attemptId: string, uncachedTokens: number, networkMs: number, now: number): void {
        const queuedTokensAhead = this.queuedTokens(address, now);
        const waiting = { sentAt: now, tokens: uncachedTokens, queuedTokensAhead, networkMs };
        this.serverOf(address).waiting.set(attemptId, waiting);
    }

    /** Notes the first token of a request and corrects the prefill time of the server. */
    started(address: string, attemptId: string, computedTokens: number, report: types.LoadReport, now: number): void {
        const server = this.serverOf(address);
        const waiting = server.waiting.get(attemptId);
        server.waiting.delete(attemptId);
        if (waiting !== undefined) {
            server.observedMs = server.observedMs * FORGETTING + Math.max(0, now - waiting.sentAt - waiting.networkMs);
            server.observedTokens = server.observedTokens * FORGETTING + waiting.queuedTokensAhead + computedTokens;
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
        const drained = (now - server.reportedAt) * this.settings.drainShare / this.prefillMsPerToken(address);
        const remaining = Math.max(0, server.reportedTokens - drained);
        const waiting = [...server.waiting.values()];
        const own = waiting.reduce((sum, request) => sum + request.tokens, 0);
        const unreported = waiting.reduce(
            (sum, request) => sum + (request.sentAt >= server.reportedAt ? request.tokens : 0),
            0,
        );
        return Math.max(own, remaining + unreported);
    }

    /** Time that the server takes to compute a prompt token, in milliseconds. */
    prefillMsPerToken(address: string): number {
        const server = this.servers.get(address);
        return server === undefined || server.observedTokens <= 0
            ? this.settings.initialPrefillMsPerToken
            : server.observedMs / server.observedTokens;
    }

    private serverOf(address: string): Server {
        const server = this.servers.get(address) ?? {
            waiting: new Map<string, Waiting>(),
            reportedTokens: 0,
            reportedAt: Number.NEGATIVE_INFINITY,
            observedMs: PRIOR_TOKENS * this.settings.initialPrefillMsPerToken,
            observedTokens: PRIOR_TOKENS,
        };
        this.servers.set(address, server);
        return server;
    }
}
