/** Load estimates of an entry for the servers, from its own requests and from the load reports in replies. */
import * as parameters from "./parameters.js";
import type * as types from "./types.js";

/** Weight of the initial prefill time, as a number of observed tokens. */
const INITIAL_OBSERVED_TOKENS = 20_000;
/** Factor applied to the weight of older observations of the prefill time with each reply. */
const OBSERVATION_DECAY = 0.995;

/** Own request that has not produced its first token. */
interface PendingRequest {
    readonly sentAt: number;
    readonly uncachedTokens: number;
    readonly queuedTokensAhead: number;
    readonly networkMs: number;
}

interface ServerState {
    /** By attempt identifier. */
    readonly pending: Map<string, PendingRequest>;
    reportedQueuedTokens: number;
    reportedAt: number;
}

/** Load estimates of one entry for all servers of a model. Times are in milliseconds. */
export class ServerLoads {
    private readonly servers = new Map<string, ServerState>();
    private observedMs: number;
    private observedTokens = INITIAL_OBSERVED_TOKENS;

    constructor(private readonly settings: parameters.Parameters = parameters.defaults) {
        this.observedMs = INITIAL_OBSERVED_TOKENS * settings.initialPrefillMsPerToken;
    }

    /** Records a request that is being sent and the prompt tokens that the server is expected to compute. */
    recordSent(address: string, attemptId: string, uncachedTokens: number, networkMs: number, now: number): void {
        const queuedTokensAhead = this.queuedTokens(address, now);
        const pending = { sentAt: now, uncachedTokens, queuedTokensAhead, networkMs };
        this.serverOf(address).pending.set(attemptId, pending);
    }

    /** Records the first token of a request and updates the prefill time. */
    recordFirstToken(
        address: string,
        attemptId: string,
        computedTokens: number,
        report: types.LoadReport,
        now: number,
    ): void {
        const server = this.serverOf(address);
        const pending = server.pending.get(attemptId);
        server.pending.delete(attemptId);
        if (pending !== undefined) {
            const elapsedMs = Math.max(0, now - pending.sentAt - pending.networkMs);
            this.observedMs = this.observedMs * OBSERVATION_DECAY + elapsedMs;
            this.observedTokens = this.observedTokens * OBSERVATION_DECAY + pending.queuedTokensAhead + computedTokens;
        }
        this.recordReport(address, report, now);
    }

    /** Removes a request that ended or failed before its first token, or was redirected. */
    removePending(address: string, attemptId: string): void {
        this.servers.get(address)?.pending.delete(attemptId);
    }

    /** Records a load report of a server. */
    recordReport(address: string, report: types.LoadReport, now: number): void {
        const server = this.serverOf(address);
        server.reportedQueuedTokens = report.queuedTokens;
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

    /** Expected prompt tokens that the server computes before it starts a request sent now. */
    queuedTokens(address: string, now: number): number {
        const server = this.servers.get(address);
        if (server === undefined) {
            return 0;
        }
        const drainedTokens = (now - server.reportedAt) * this.settings.queueDrainFactor / this.prefillMsPerToken;
        const remainingTokens = Math.max(0, server.reportedQueuedTokens - drainedTokens);
        const pending = [...server.pending.values()];
        const ownTokens = pending.reduce((sum, request) => sum + request.uncachedTokens, 0);
        const unreportedTokens = pending.reduce(
            (sum, request) => sum + (request.sentAt >= server.reportedAt ? request.uncachedTokens : 0),
            0,
        );
        return Math.max(ownTokens, remainingTokens + unreportedTokens);
    }

    /**
     * Prefill time per prompt token in milliseconds. All servers share one estimate: estimates per server absorb the
     * errors of the queue estimates and move requests away from the servers that have cached their prefixes.
     */
    get prefillMsPerToken(): number {
        return this.observedMs / this.observedTokens;
    }

    private serverOf(address: string): ServerState {
        const server = this.servers.get(address) ?? {
            pending: new Map<string, PendingRequest>(),
            reportedQueuedTokens: 0,
            reportedAt: Number.MIN_SAFE_INTEGER,
        };
        this.servers.set(address, server);
        return server;
    }
}
