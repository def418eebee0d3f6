/** Counts of finished, failed and slow requests of an agent, per version, route and load level. */
import type * as failures from "../core/failure.js";
import type * as boards from "../daemon/board.js";
import * as effects from "./effect.js";
import * as evidence from "./evidence.js";
import * as types from "./types.js";

/** Bounds of the target for the first token and between two tokens, in milliseconds. */
const FIRST_TOKEN_LIMIT_MS = 1100;
const TOKEN_GAP_LIMIT_MS = 52;
/** A mean over fewer gaps depends on a single pause. */
const MINIMUM_GAPS = 4;

const OTHER_ROUTES = "(other)";

/** Occupied part of the slots from which the load counts as medium. */
const MEDIUM_OCCUPATION = 0.5;

/** Failures that speak against the weights; others come from the caller or from the network. */
const VERSION_FAILURES: ReadonlySet<failures.FailureKind> = new Set<failures.FailureKind>([
    "engine-failed",
    "engine-protocol-error",
    "engine-unresponsive",
    "engine-connection-lost",
]);

/** Load level when a request starts, from the requests that run and wait at the agent. */
export function loadLevelOf(
    load: { readonly running: number; readonly waiting: number; },
    slots: number,
): types.LoadLevel {
    if (load.waiting > 0 || load.running >= slots) {
        return "high";
    }
    return load.running >= slots * MEDIUM_OCCUPATION ? "medium" : "low";
}

/** Progress of one request on the engine, in milliseconds of the monotonic clock. */
export interface Progress {
    readonly startedAt: number;
    readonly firstTokenAt: number | undefined;
    readonly lastTokenAt: number;
    readonly tokens: number;
}

export function isSlow(progress: Progress, now: number): boolean {
    const firstTokenAt = progress.firstTokenAt ?? now;
    if (firstTokenAt - progress.startedAt > FIRST_TOKEN_LIMIT_MS) {
        return true;
    }
    const gaps = progress.tokens - 1;
    return gaps >= MINIMUM_GAPS && (progress.lastTokenAt - firstTokenAt) / gaps > TOKEN_GAP_LIMIT_MS;
}

export interface CountedRequest {
    readonly model: string;
    readonly weightsVersion: string;
    readonly route: string;
    /** Run of the engine. */
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

/** Counts of one rollout; bounded by two versions, the load levels and the number of routes. */
class Ledger {
    readonly open = new Set<RequestOutcome>();
    private readonly cells = new Map<string, Cell>();
    private readonly routes = new Set<string>();
    private readonly crashes = new Map<string, string>();

    cell(request: CountedRequest): Cell {
        if (this.routes.size < evidence.MAXIMUM_ROUTES) {
            this.routes.add(request.route);
        }
        const route = this.routes.has(request.route) ? request.route : OTHER_ROUTES;
        const { weightsVersion, loadLevel } = request;
        const key = [weightsVersion, route, loadLevel].join("\n");
        const cell = this.cells.get(key) ?? { weightsVersion, route, loadLevel, finished: 0, failed: 0, slow: 0 };
        this.cells.set(key, cell);
        return cell;
    }

    /** True for the first request of the version that was lost with a run of the engine. */
    isFirstLoss(request: CountedRequest): boolean {
        const isFirst = this.crashes.get(request.weightsVersion) !== request.backendBoot;
        this.crashes.set(request.weightsVersion, request.backendBoot);
        return isFirst;
    }

    counts(now: number): readonly types.OutcomeCount[] {
        [...this.open].forEach(outcome => outcome.checkFirstToken(now));
        return [...this.cells.values()].map(cell => ({ ...cell }));
    }
}

/** One request on the engine. */
export class RequestOutcome {
    private progress: Progress;
    private counted = false;

    constructor(private readonly ledger: Ledger, private readonly request: CountedRequest, now: number) {
        this.progress = { startedAt: now, firstTokenAt: undefined, lastTokenAt: now, tokens: 0 };
        ledger.open.add(this);
    }

    token(now: number): void {
        const { firstTokenAt = now, tokens, startedAt } = this.progress;
        this.progress = { startedAt, firstTokenAt, lastTokenAt: now, tokens: tokens + 1 };
    }

    /** Ends the request; without a failure it is complete. Further calls have no effect. */
    end(now: number, failure?: failures.Failure): void {
        if (!this.ledger.open.delete(this) || this.counted) {
            return;
        }
        const isFailed = failure !== undefined && VERSION_FAILURES.has(failure.kind);
        const slow = isSlow(this.progress, now);
        // One crash takes many requests with it; counted one by one they would prove a good version bad.
        const isRepeatedLoss = failure?.kind === "engine-connection-lost" && !this.ledger.isFirstLoss(this.request);
        const isEvidence = failure === undefined || isFailed || slow;
        if (isEvidence && !isRepeatedLoss) {
            this.count(isFailed, !isFailed && slow);
        }
    }

    /** Counts a request that is already late, so that a version that hangs is noticed before a timeout ends it. */
    checkFirstToken(now: number): void {
        if (!this.counted && this.progress.firstTokenAt === undefined && isSlow(this.progress, now)) {
            this.count(false, true);
        }
    }

    private count(isFailed: boolean, slow: boolean): void {
        this.counted = true;
        const cell = this.ledger.cell(this.request);
        cell.finished++;
        cell.failed += Number(isFailed);
        cell.slow += Number(slow);
    }
}

export class OutcomeCounter {
    private readonly ledgers = new Map<string, Ledger>();

    constructor(private readonly board: boards.Board, private readonly wallTime: () => number) {}

    /** Starts a request on the engine. Undefined when it belongs to no rollout in progress. */
    begin(request: CountedRequest, now: number): RequestOutcome | undefined {
        const rollout = effects.rolloutOf(this.board.read("configuration"), request.model);
        const isCompared = rollout !== undefined
            && (request.weightsVersion === rollout.from || request.weightsVersion === rollout.to)
            && effects.isOpen(rollout, this.board.read("rollouts"), this.wallTime());
        if (!isCompared) {
            return undefined;
        }
        const identity = types.identityOf(rollout);
        const ledger = this.ledgers.get(identity) ?? new Ledger();
        this.ledgers.set(identity, ledger);
        return new RequestOutcome(ledger, request, now);
    }

    counts(identity: string, now: number): readonly types.OutcomeCount[] {
        return this.ledgers.get(identity)?.counts(now) ?? [];
    }

    /** Drops the counts of all other rollouts. */
    retain(identities: ReadonlySet<string>): void {
        [...this.ledgers.keys()].filter(identity => !identities.has(identity))
            .forEach(identity => this.ledgers.delete(identity));
    }
}
