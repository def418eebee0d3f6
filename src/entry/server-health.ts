/** Circuit breaker and retry budget of each agent, local to one entry. */
import type * as event from "../core/event.js";
import type * as failures from "../core/failure.js";
import type * as membership from "../membership/types.js";
import * as breakers from "../resilience/circuit-breaker.js";
import * as budgets from "../resilience/retry-budget.js";

interface AgentHealth {
    readonly breaker: breakers.CircuitBreaker;
    readonly budget: budgets.RetryBudget;
    /** Boots of the agent and its backend server; the circuit closes when one of them changes. */
    identity: string;
}

/** Failures attributed to the server, unlike a full queue, a stale configuration or an invalid request. */
const SERVER_FAILURES: ReadonlySet<failures.FailureKind> = new Set([
    "engine-connection-lost",
    "engine-failed",
    "engine-protocol-error",
    "engine-unreachable",
    "engine-unresponsive",
    "peer-connection-lost",
    "peer-unreachable",
    "service-connection-lost",
    "service-unreachable",
    "stream-incomplete",
    "stream-inconsistent",
    "stream-stalled",
]);

export class ServerHealth {
    private readonly servers = new Map<string, AgentHealth>();

    constructor(private readonly random: () => number, private readonly journal: event.Journal) {}

    /**
     * Returns the addresses whose circuit admits a request, or all addresses when there is none: a request that may fail
     * is better than one that is certainly refused.
     */
    available(addresses: readonly string[], now: number): ReadonlySet<string> {
        const passing = addresses.filter(address => this.servers.get(address)?.breaker.isAvailable(now) ?? true);
        return new Set(passing.length > 0 ? passing : addresses);
    }

    /** Records a sent request; only first attempts add to the retry budget. */
    requestSent(address: string, isFirstAttempt: boolean, now: number): void {
        const health = this.healthOf(address);
        health.breaker.tryAcquire(now);
        if (isFirstAttempt) {
            health.budget.recordRequest(now);
        }
    }

    requestSucceeded(address: string, now: number): void {
        const { breaker } = this.healthOf(address);
        const before = breaker.state;
        breaker.recordSuccess(now);
        if (before !== "closed" && breaker.state === "closed") {
            this.journal.emit("circuit-closed", { backendServer: address });
        }
    }

    requestFailed(address: string, failure: failures.Failure, now: number): void {
        const { breaker } = this.healthOf(address);
        if (SERVER_FAILURES.has(failure.kind)) {
            const before = breaker.state;
            breaker.recordFailure(now, this.random());
            if (before !== "open" && breaker.state === "open") {
                this.journal.emit("circuit-opened", { backendServer: address, reason: failure.kind });
            }
        }
        else {
            breaker.recordIgnored();
        }
    }

    /** Uses the retry budget of a server that failed a request; returns false when it is exhausted. */
    tryRetry(address: string, now: number): boolean {
        const isAllowed = this.healthOf(address).budget.tryRetry(now);
        if (!isAllowed) {
            this.journal.emit("retry-budget-exhausted", { backendServer: address });
        }
        return isAllowed;
    }

    /** Removes former members, and closes the circuit of an agent or backend server that has restarted. */
    updateMembers(members: membership.Members): void {
        for (const [address, health] of this.servers) {
            const member = members.get(address);
            const identity = member === undefined ? "" : `${member.incarnation.boot} ${member.backendBoot}`;
            if (member === undefined) {
                this.servers.delete(address);
            }
            else if (health.identity !== identity) {
                health.identity = identity;
                health.breaker.reset();
            }
        }
    }

    private healthOf(address: string): AgentHealth {
        const existing = this.servers.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const health = { breaker: new breakers.CircuitBreaker(), budget: new budgets.RetryBudget(), identity: "" };
        this.servers.set(address, health);
        return health;
    }
}
