/** Circuit breaker and retry budget of each agent, as one entry sees it. */
import type * as event from "../core/event.js";
import type * as failures from "../core/failure.js";
import type * as membership from "../membership/types.js";
import * as breakers from "../resilience/circuit-breaker.js";
import * as budgets from "../resilience/retry-budget.js";

interface Health {
    readonly breaker: breakers.CircuitBreaker;
    readonly budget: budgets.RetryBudget;
    /** Incarnation of the agent and of its server; another one starts with a clean record. */
    identity: string;
}

/** Failures that speak against the server. A full queue, a stale configuration or a bad request do not. */
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
    private readonly servers = new Map<string, Health>();

    constructor(private readonly random: () => number, private readonly journal: event.Journal) {}

    /**
     * The addresses that a request may go to. When no circuit lets a request pass, all addresses are returned: a trial
     * is better than a certain refusal.
     */
    available(addresses: readonly string[], now: number): ReadonlySet<string> {
        const passing = addresses.filter(address => this.servers.get(address)?.breaker.isAvailable(now) ?? true);
        return new Set(passing.length > 0 ? passing : addresses);
    }

    /** Notes that a request is sent; only first attempts enlarge the retry budget. */
    sent(address: string, isFirstAttempt: boolean, now: number): void {
        const health = this.healthOf(address);
        health.breaker.tryAcquire(now);
        if (isFirstAttempt) {
            health.budget.recordRequest(now);
        }
    }

    succeeded(address: string, now: number): void {
        const { breaker } = this.healthOf(address);
        const before = breaker.state;
        breaker.recordSuccess(now);
        if (before !== "closed" && breaker.state === "closed") {
            this.journal.emit("circuit-closed", { backendServer: address });
        }
    }

    ended(address: string, failure: failures.Failure, now: number): void {
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

    /** Takes a retry of a request that the server failed out of its budget. */
    takeRetry(address: string, now: number): boolean {
        const isAllowed = this.healthOf(address).budget.tryRetry(now);
        if (!isAllowed) {
            this.journal.emit("retry-budget-exhausted", { backendServer: address });
        }
        return isAllowed;
    }

    /** Drops former members, and closes the circuit of an agent or server that was started again. */
    follow(members: membership.Members): void {
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

    private healthOf(address: string): Health {
        const existing = this.servers.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const health = { breaker: new breakers.CircuitBreaker(), budget: new budgets.RetryBudget(), identity: "" };
        this.servers.set(address, health);
        return health;
    }
}
