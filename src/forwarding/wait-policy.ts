/**
 * How the calls of an entry wait and are refused: by constants, or, where calls of several kinds compete for servers, by
 * what their callers need and by the rate at which calls have been placed lately.
 */
import * as hashing from "../core/hashing.js";
import type * as routingTables from "../fleet/routing-table.js";
import * as callRanks from "../scheduling/call-ranks.js";
import * as callTimes from "../scheduling/call-times.js";
import * as expectedWaits from "../scheduling/expected-wait.js";
import * as admissions from "./call-admission.js";
import type * as types from "./types.js";
import * as waitLimits from "./wait-limit.js";

/** Time in milliseconds that a server takes for one output token, while it runs other calls as well. */
const OUTPUT_TOKEN_MS = 10;

/** Retry delay in milliseconds after the servers rejected the call, or at its deadline. */
const RETRY_AFTER_REJECTION_MS = 300;
/** The same while no call waits: other servers have capacity, and only the budget for another attempt is used up. */
const RETRY_ELSEWHERE_MS = 80;

/** A call that has been admitted. */
export interface WaitingCall {
    readonly admission: admissions.Admission;
    readonly arrivedAt: number;
    /** Number of earlier attempts that may have run. */
    readonly executedAttempts: number;
    /** Time of the last event that the caller received; the arrival before the first one. */
    readonly lastProgressAt: number;
}

/** Why and how long a call would have waited for a server. */
export interface UnmetWait {
    /** Retry delay in milliseconds for the reason why no server is available. */
    readonly usualMs: number;
    /** The reason is that the servers have no capacity. */
    readonly isFull: boolean;
    /** Expected wait in milliseconds, if it is known. */
    readonly expectedMs: number | undefined;
}

export interface WaitPolicy {
    /** Order in the queue; less is more urgent. */
    readonly rankOf: (admission: RankedCall) => number;
    /** From 0 to 9; 0 is the most urgent. */
    readonly enginePriorityOf: (admission: RankedCall) => number;
    /** Orders the calls of one rank; undefined for the order of their arrival. */
    readonly startTimesOf: (call: WaitingCall) => callTimes.StartTimes | undefined;
    /** Time until which the call waits for a server. */
    readonly waitEndsAt: (call: WaitingCall, now: number) => number;
    /** Expected wait in milliseconds behind other calls; undefined if it is not known. */
    readonly expectedWaitMs: (
        call: WaitingCall,
        ahead: expectedWaits.QueueAhead,
        now: number,
    ) => number | undefined;
    /** Delay in milliseconds after which a refused caller retries. */
    readonly retryAfterMs: (admission: admissions.Admission, unmet: UnmetWait, now: number) => number;
    /** Delay in milliseconds after which the caller of a call that the servers rejected retries. */
    readonly retryAfterRejectionMs: (admission: admissions.Admission, now: number) => number;
}

type RankedCall = Pick<admissions.Admission, "customer" | "route" | "service">;
type PolicyPorts = Pick<types.CallPorts, "latencyEstimates" | "queues" | "settings" | "view">;

/** The policy that the deployment asks for. */
export function waitPolicy(ports: PolicyPorts): WaitPolicy {
    return ports.settings.capabilities.contendedServers ? contendedPolicy(ports) : PLAIN_POLICY;
}

const PLAIN_POLICY: WaitPolicy = {
    rankOf: admissions.priorityOf,
    enginePriorityOf: admissions.priorityOf,
    startTimesOf: () => undefined,
    waitEndsAt: (call, now) => waitLimits.waitEndsAt(timedCall(call), now),
    expectedWaitMs: () => undefined,
    retryAfterMs: (_admission, { usualMs }) => usualMs,
    retryAfterRejectionMs: () => RETRY_AFTER_REJECTION_MS,
};

function contendedPolicy(ports: PolicyPorts): WaitPolicy {
    const rank = (call: RankedCall) => rankIn(ports.view.routingTable, call);
    const retryAfterMs = (admission: admissions.Admission, availableInMs: number, now: number) => {
        return expectedWaits.retryAfterMs({
            ...rank(admission),
            availableInMs,
            remainingMs: admission.deadlineAt - now,
            share: hashing.unitHash(admission.head.id),
        });
    };
    const startTimes = (call: WaitingCall) => {
        const timed = timedCall(call);
        return callTimes.startTimes(
            { ...timed, abandonedAt: waitLimits.abandonedAt(timed) },
            serviceTimes(ports, call),
        );
    };
    return {
        rankOf: call => rank(call).key,
        enginePriorityOf: call => rank(call).enginePriority,
        startTimesOf: startTimes,
        waitEndsAt: (call, now) => {
            return call.executedAttempts > 0
                ? waitLimits.waitEndsAt(timedCall(call), now)
                : Math.max(now, startTimes(call).usefulUntil);
        },
        expectedWaitMs: ({ admission }, ahead, now) => {
            const throughput = ports.queues.throughputOf(admission.service).at(now);
            return expectedWaits.expectedWaitMs(rank(admission).key, ahead, throughput);
        },
        retryAfterMs: (admission, { usualMs, isFull, expectedMs }, now) => {
            // The first of the queue expects no wait behind others, and yet no server became available for it.
            const isKnown = isFull && expectedMs !== undefined && expectedMs > 0;
            return retryAfterMs(admission, isKnown ? expectedMs : usualMs, now);
        },
        retryAfterRejectionMs: (admission, now) => {
            const hasCapacity = ports.queues.of(admission.service).waitingForServer === 0;
            return retryAfterMs(admission, hasCapacity ? RETRY_ELSEWHERE_MS : RETRY_AFTER_REJECTION_MS, now);
        },
    };
}

function timedCall(call: WaitingCall): waitLimits.WaitingCall {
    const { admission: { route, deadlineAt }, arrivedAt, executedAttempts, lastProgressAt } = call;
    return {
        kind: route.kind,
        arrivedAt,
        deadlineAt,
        executedAttempts,
        lastProgressAt,
        targetLatencyMs: route.targetLatencyMs,
        targetGapMs: route.targetGapMs,
    };
}

/** Times from the mean of the service's recent calls; cached parts shorten them. */
function serviceTimes(ports: PolicyPorts, { admission }: WaitingCall): callTimes.ServiceTimes {
    const latency = ports.latencyEstimates.get(admission.service);
    if (admission.route.kind !== "stream") {
        return { firstMs: latency.callMs, wholeMs: latency.callMs };
    }
    const firstMs = admission.head.promptTokens * latency.msPerPromptToken;
    return { firstMs, wholeMs: firstMs + admission.head.expectedOutputTokens * OUTPUT_TOKEN_MS };
}

/** Ranks by service of each configuration, since a rank is looked up several times for each call. */
const ranksByTable = new WeakMap<routingTables.RoutingTable, Map<string, callRanks.CallRanks>>();
const NO_RANKS = new callRanks.CallRanks([], []);

function rankIn(table: routingTables.RoutingTable | undefined, call: RankedCall): callRanks.CallRank {
    if (table === undefined) {
        return NO_RANKS.of(call.customer, call.route);
    }
    const byService = ranksByTable.get(table) ?? new Map<string, callRanks.CallRanks>();
    ranksByTable.set(table, byService);
    const ranks = byService.get(call.service) ?? callRanks.ranksOf(table.configuration, call.service);
    byService.set(call.service, ranks);
    return ranks.of(call.customer, call.route);
}
