/** Dependencies and settings of call handling. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as budgets from "../memory/budget.js";
import type * as cacheIndexes from "../placement/cache-index.js";
import type * as coldServers from "../placement/cold-servers.js";
import type * as demands from "../placement/demand.js";
import type * as latencyEstimates from "../placement/latency-estimates.js";
import type * as prefills from "../placement/prefills.js";
import type * as promptGroups from "../placement/prompt-groups.js";
import type * as selection from "../placement/selection.js";
import type * as serverHealth from "../placement/server-health.js";
import type * as serverLimits from "../placement/server-limits.js";
import type * as serverLoads from "../placement/server-load.js";
import type * as transferBudgets from "../placement/transfer-budget.js";
import type * as placement from "../placement/types.js";
import type * as suspectTrackers from "../quarantine/suspect-tracker.js";
import type * as ledgers from "../quota/ledger.js";
import type * as serviceRollouts from "../rollout/service-rollouts.js";
import type * as connectionPools from "./connection-pool.js";
import type * as crashDetectors from "./crash-detector.js";
import type * as dialects from "./dialect.js";
import type * as views from "./fleet-view.js";
import type * as fragmentPaces from "./fragment-pace.js";
import type * as serviceQueues from "./service-queues.js";
import type * as serviceRetryBudgets from "./service-retry-budgets.js";

export interface CallSettings {
    readonly dataCentre: string;
    readonly selection: selection.SelectionSettings;
    readonly capabilities: fleet.Capabilities;
    /** Region of each data centre. */
    readonly regions: ReadonlyMap<string, string>;
}

/** How the wait of a call ends. */
export type WaitEnd = "placed" | "refused" | "cancelled";

/** Records the metrics of calls. */
export interface CallMeter {
    /** Records the status and latency of a call that got a response; `firstEventMs` is the time until its headers. */
    finished(
        customer: string,
        route: string,
        status: number,
        elapsedMs: number,
        firstEventMs: number | undefined,
    ): void;
    /** Counts an attempt without a usable response, by how it ended and whether the server had begun to answer. */
    attemptFailed(service: string, end: string, hasBegun: boolean): void;
    /** Counts a call that a server rejected without running it, by whether the server stated that all its slots are used. */
    serverRejected(service: string, isOccupied: boolean | undefined): void;
    /** Records the age of the statement from which the load of the chosen server was estimated. */
    statementUsed(service: string, ageMs: number): void;
    /** Counts an answer that was relayed instead of buffered. */
    answerRelayed(reason: string): void;
    /** Counts a call by the kind of its prompt and the group of its server; a server of no group is `shared`. */
    promptPlaced(kind: placement.PromptKind, group: placement.PromptKind | "shared"): void;
    /** Records a stream that ended by the kind of its prompt; `isPausedTooLong` if it missed its target gap. */
    promptFinished(kind: placement.PromptKind, firstEventMs: number | undefined, isPausedTooLong: boolean): void;
    /** Counts a call that failed with an error response of the router. */
    refused(customer: string, failure: string): void;
    /** Records the wait of a call for a server or for shared parts, by the last reason for it. */
    waited(service: string, reason: string, end: WaitEnd, waitedMs: number): void;
    /** Records the delay after which the caller of a refused call is to retry. */
    retryAdvised(failure: string, retryAfterMs: number): void;
}

export interface CallPorts {
    /** Connections of callers for which there are descriptors; undefined for no limit. */
    readonly maximumConnections?: number | undefined;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly meter: CallMeter;
    readonly dialect: dialects.Dialect;
    readonly view: views.FleetView;
    readonly serverLoad: serverLoads.ServerLoadTracker;
    readonly serverLimits: serverLimits.ServerLimits;
    /** Undefined where no server is ever cold. */
    readonly coldServers?: coldServers.ColdServers | undefined;
    readonly cacheIndex: cacheIndexes.CacheIndex;
    readonly prefills: prefills.PrefillTracker;
    readonly demand: demands.DemandEstimates;
    readonly promptGroups: promptGroups.PromptGroups;
    readonly transferBudget: transferBudgets.TransferBudget;
    readonly serverHealth: serverHealth.ServerHealth;
    readonly latencyEstimates: latencyEstimates.LatencyEstimates;
    readonly quotas: ledgers.QuotaLedger;
    readonly retryBudgets: serviceRetryBudgets.ServiceRetryBudgets;
    readonly queues: serviceQueues.ServiceQueues;
    readonly connectionPool: connectionPools.ConnectionPool;
    readonly memory: budgets.MemoryBudget;
    readonly fragments: fragmentPaces.FragmentPace;
    readonly rollouts: serviceRollouts.ServiceRollouts;
    readonly suspects: suspectTrackers.SuspectTracker;
    readonly crashes: crashDetectors.CrashDetector;
    readonly settings: CallSettings;
    /** The process is shutting down; connections are closed after their last response. */
    readonly isDraining: () => boolean;
    /** The process will exit too soon to accept new calls. */
    readonly isClosing: () => boolean;
    /** Time in milliseconds at which calls that have not ended are cut off; `Infinity` before the shutdown. */
    readonly endsAt: () => number;
}
