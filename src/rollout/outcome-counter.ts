/** Counts finished, failed and slow requests of an agent by version, route and load level. */
import type * as failures from "../core/failure.js";
import type * as boards from "../daemon/board.js";
import * as evidence from "./evidence.js";
import * as servingPolicies from "./serving-policy.js";
import * as types from "./types.js";

/** Latency targets for the first token and for the mean gap between tokens; slower requests count as slow. */
const FIRST_TOKEN_LIMIT_MS = 1100;
const TOKEN_GAP_LIMIT_MS = 52;
/** Fewer gaps are not judged, since a single pause would dominate their mean. */
const MINIMUM_TOKEN_GAPS = 4;

const OTHER_ROUTES = "(other)";

/** Fraction of occupied slots from which the load level is medium. */
const MEDIUM_LOAD_THRESHOLD = 0.5;

/** Failures that are attributed to the weights; others are caused by the caller or the network. */
const VERSION_FAILURES: ReadonlySet<failures.FailureKind> = new Set<failures.FailureKind>([
    "engine-failed",
    "engine-protocol-error",
    "engine-unresponsive",
    "engine-connection-lost",
]);

/** Load level at the start of a request, from the running and waiting requests of the agent. */
export function loadLevelOf(
    load: { readonly running: number; readonly waiting: number; },
    slots: number,
): types.LoadLevel {
    if (load.waiting > 0 || load.running >= slots) {
        return "high";
    }
    return load.running >= slots * MEDIUM_LOAD_THRESHOLD ? "medium" : "low";
}

/** Token progress of one request; times are monotonic, in milliseconds. */
export interface RequestProgress {
    readonly startedAt: number;
    readonly firstTokenAt: number | undefined;
    readonly lastTokenAt: number;
    readonly tokens: number;
}

/** True if the first token or the mean token gap exceeds its target. */
export function isSlow(progress: RequestProgress, now: number): boolean {
    const firstTokenAt = progress.firstTokenAt ?? now;
    if (firstTokenAt - progress.startedAt > FIRST_TOKEN_LIMIT_MS) {
        return true;
    }
    const gaps = progress.tokens - 1;
    return gaps >= MINIMUM_TOKEN_GAPS && (progress.lastTokenAt - firstTokenAt) / gaps > TOKEN_GAP_LIMIT_MS;
}

export interface CountedRequest {
    readonly model: string;
    readonly weightsVersion: string;
    readonly route: string;
    /** Boot identifier of the engine process. */
    readonly backendBoot: string;
    readonly loadLevel: types.LoadLevel;
}

interface Cell {
    readonly weightsVersion: string;
    readonly route: string;
    readonly loadLevel: types.LoadLevel;
    finished: number;
    failed: number;
    slow: number;
}

/** Counts of one rollout. Their number is bounded by the two versions, the load levels and `MAXIMUM_NAMED_ROUTES`. */
class RolloutCounts {
    readonly unfinished = new Set<RequestOutcome>();
    private readonly cells = new Map<string, Cell>();
    private readonly routes = new Set<string>();
    /** Boot identifier of the engine process that was lost last, by weights version. */
    private readonly lastCrashedBoots = new Map<string, string>();

    cell(request: CountedRequest): Cell {
        if (this.routes.size < evidence.MAXIMUM_NAMED_ROUTES) {
            this.routes.add(request.route);
        }
        const route = this.routes.has(request.route) ? request.route : OTHER_ROUTES;
        const { weightsVersion, loadLevel } = request;
        const key = [weightsVersion, route, loadLevel].join("\n");
        const cell = this.cells.get(key) ?? { weightsVersion, route, loadLevel, finished: 0, failed: 0, slow: 0 };
        this.cells.set(key, cell);
        return cell;
    }

    /** Records a request that was lost in an engine crash; true for the first one of the version and engine process. */
    isFirstLossOfCrash(request: CountedRequest): boolean {
        const isFirst = this.lastCrashedBoots.get(request.weightsVersion) !== request.backendBoot;
        this.lastCrashedBoots.set(request.weightsVersion, request.backendBoot);
        return isFirst;
    }

    snapshot(now: number): readonly types.OutcomeCount[] {
        [...this.unfinished].forEach(outcome => outcome.checkFirstToken(now));
        return [...this.cells.values()].map(cell => ({ ...cell }));
    }
}

/** Tracks one request on the engine and counts its outcome at most once. */
export class RequestOutcome {
    private progress: RequestProgress;
    private isCounted = false;

    constructor(private readonly rolloutCounts: RolloutCounts, private readonly request: CountedRequest, now: number) {
        this.progress = { startedAt: now, firstTokenAt: undefined, lastTokenAt: now, tokens: 0 };
        rolloutCounts.unfinished.add(this);
    }

    recordToken(now: number): void {
        const { firstTokenAt = now, tokens, startedAt } = this.progress;
        this.progress = { startedAt, firstTokenAt, lastTokenAt: now, tokens: tokens + 1 };
    }

    /** Ends the request, successfully unless a failure is given. Further calls have no effect. */
    end(now: number, failure?: failures.Failure): void {
        if (!this.rolloutCounts.unfinished.delete(this) || this.isCounted) {
            return;
        }
        const isFailed = failure !== undefined && VERSION_FAILURES.has(failure.kind);
        const isSlowRequest = isSlow(this.progress, now);
        // One crash fails all running requests; counting each of them would make a good version look bad.
        const isRepeatedLoss = failure?.kind === "engine-connection-lost"
            && !this.rolloutCounts.isFirstLossOfCrash(this.request);
        const isEvidence = failure === undefined || isFailed || isSlowRequest;
        if (isEvidence && !isRepeatedLoss) {
            this.count(isFailed, !isFailed && isSlowRequest);
        }
    }

    /** Counts a request as slow once its first token is overdue, to detect a hanging version before the timeout. */
    checkFirstToken(now: number): void {
        if (!this.isCounted && this.progress.firstTokenAt === undefined && isSlow(this.progress, now)) {
            this.count(false, true);
        }
    }

    private count(isFailed: boolean, isSlowRequest: boolean): void {
        this.isCounted = true;
        const cell = this.rolloutCounts.cell(this.request);
        cell.finished++;
        cell.failed += Number(isFailed);
        cell.slow += Number(isSlowRequest);
    }
}

export class OutcomeCounter {
    private readonly countsByRollout = new Map<string, RolloutCounts>();

    constructor(private readonly board: boards.Board, private readonly wallTime: () => number) {}

    /** Starts tracking a request; `undefined` if its version is not part of a rollout in progress. */
    begin(request: CountedRequest, now: number): RequestOutcome | undefined {
        const rollout = servingPolicies.rolloutOf(this.board.read("configuration"), request.model);
        const isCompared = rollout !== undefined
            && (request.weightsVersion === rollout.from || request.weightsVersion === rollout.to)
            && servingPolicies.isInProgress(rollout, this.board.read("rollouts"), this.wallTime());
        if (!isCompared) {
            return undefined;
        }
        const identity = types.identityOf(rollout);
        const rolloutCounts = this.countsByRollout.get(identity) ?? new RolloutCounts();
        this.countsByRollout.set(identity, rolloutCounts);
        return new RequestOutcome(rolloutCounts, request, now);
    }

    /** Counts of a rollout by its identity; empty if there are none. */
    counts(identity: string, now: number): readonly types.OutcomeCount[] {
        return this.countsByRollout.get(identity)?.snapshot(now) ?? [];
    }

    /** Drops the counts of all other rollouts. */
    retain(identities: ReadonlySet<string>): void {
        [...this.countsByRollout.keys()].filter(identity => !identities.has(identity))
            .forEach(identity => this.countsByRollout.delete(identity));
    }
}
