/**
 * Load and pace of servers as they state them in responses, combined with the calls that the entries count.
 *
 * Load pattern: many entries place calls at few servers at the same moment, and other programs slow the machines of single
 * servers down for moments. The counts in peers' heartbeats are up to some hundred milliseconds old and say nothing of the
 * machine, so that servers that are full or slow still get calls. A statement is exact at its time, and soon outdated: its
 * weight halves within the age that the counts have.
 */
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";

/** Time in milliseconds after which a statement of the load counts as much as the calls that the entries count. */
const LOAD_HALF_LIFE_MS = 200;
/** The same for engines, whose calls take longer. */
const ENGINE_LOAD_HALF_LIFE_MS = 1000;
/** Time in milliseconds after which the deviation of a stated pace counts half. */
const PACE_HALF_LIFE_MS = 200;
/** Age in milliseconds of the figures in an agent's report when it arrives. */
const REPORT_AGE_MS = 300;
/** Age in milliseconds beyond which a statement is not used. */
const MAXIMUM_AGE_MS = 1000;
/** Time in milliseconds without calls to a server after it rejected one, doubled with each further rejection in a row. */
const FIRST_EXCLUSION_MS = 200;
const MAXIMUM_EXCLUSION_MS = 800;
/** Age in milliseconds up to which peers are told of a statement: two periods of the heartbeats between entries. */
const SHARED_AGE_MS = 400;
/** Most statements that one heartbeat carries. */
const MAXIMUM_SHARED = 24;
/** Paces between these are near enough to the usual one not to be shared. */
const MINIMUM_USUAL_PACE = 0.75;
const MAXIMUM_USUAL_PACE = 1.5;
/** Range of paces that are believed. */
const MINIMUM_PACE = 0.2;
const MAXIMUM_PACE = 10;
/** Weight of a new statement in the mean pace, from which the logged pace class follows. */
const PACE_SAMPLE_WEIGHT = 0.2;
/** Mean pace from which a server is logged as slow, and below which it is logged as usual again. */
const SLOW_FROM_PACE = 2;
const USUAL_BELOW_PACE = 1.5;

/** What the statements tell about a server when a call is placed. */
export interface StatedState {
    /** Calls at the server: the stated ones at first, the counted ones once the statement is old. */
    readonly calls: number;
    /** Calls in the server's queue, fewer with the age of the statement. */
    readonly waiting: number;
    /** Expected duration of work there, relative to the usual one. */
    readonly pace: number;
    /** The server rejected a call a moment ago, or states that its queue is as long as when it rejected one. */
    readonly isFull: boolean;
    /** Age of the statement in milliseconds. */
    readonly ageMs: number;
}

/** Calls that the entries count at a server. */
export interface CountedCalls {
    readonly total: number;
    readonly own: number;
}

/** What an entry knows of a server apart from its statements. */
export interface ObservedLoad {
    readonly counted: CountedCalls;
    readonly isEngine: boolean;
    /** What the agent beside the server reported last, if that may be used. */
    readonly reported?: ReportedLoad | undefined;
}

export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    /** Time at which the report arrived. */
    readonly receivedAt: number;
}

export interface StatedChange {
    /** The server begins or ceases to reject calls; undefined for no change. */
    readonly isRejecting: boolean | undefined;
    /** The mean pace becomes slow or usual; undefined for no change. */
    readonly isSlow: boolean | undefined;
}

export interface Rejection {
    /** Undefined if the server stated none. */
    readonly load: fleet.StatedLoad | undefined;
    readonly isEngine: boolean;
}

interface Statement {
    /** Start of the run of the server that made the statement. */
    readonly startedAt: number | undefined;
    readonly load: fleet.StatedLoad;
    readonly statedAt: number;
    /** Calls of this entry at the server when it learnt of the statement. */
    readonly ownCalls: number;
    /** Made to this entry rather than to a peer. */
    readonly isOwn: boolean;
}

interface Rejections {
    readonly startedAt: number | undefined;
    /** Rejections in a row. */
    readonly count: number;
    readonly rejectedAt: number;
    readonly excludedUntil: number;
    /** Length of the queue of an HTTP server at the last rejection as full; undefined if it was not full then. */
    readonly fullWaiting: number | undefined;
    readonly isOwn: boolean;
}

interface MeanPace {
    readonly value: number;
    readonly isSlow: boolean;
}

const NO_CHANGE: StatedChange = { isRejecting: undefined, isSlow: undefined };

/** Calls at a server at `now`, from a statement and the calls that the entries count. */
export function estimateCalls(
    statement: Pick<Statement, "load" | "statedAt" | "ownCalls">,
    counted: CountedCalls,
    isEngine: boolean,
    now: number,
): number {
    const { running, waiting } = statement.load;
    const stated = Math.max(0, running + waiting + counted.own - statement.ownCalls);
    const weight = decay(now - statement.statedAt, halfLifeMs(isEngine));
    const blended = stated * weight + counted.total * (1 - weight);
    // The counts lack the calls of entries whose heartbeats are missing, and those that an engine still runs for callers that left.
    return isEngine ? Math.max(counted.total, blended) : blended;
}

/** Pace expected at `now`: the stated one at first, then the usual one. */
export function estimatePace(statement: Pick<Statement, "load" | "statedAt">, now: number): number {
    const pace = Math.min(MAXIMUM_PACE, Math.max(MINIMUM_PACE, statement.load.pace));
    return 1 + (pace - 1) * decay(now - statement.statedAt, PACE_HALF_LIFE_MS);
}

export class StatedLoads {
    private readonly statements = new Map<string, Statement>();
    private readonly rejections = new Map<string, Rejections>();
    private readonly paces = new Map<string, MeanPace>();

    /** Records what a server states in a response to this entry. */
    record(
        server: fleet.BackendServer,
        load: fleet.StatedLoad | undefined,
        ownCalls: number,
        now: number,
    ): StatedChange {
        const wasRejecting = this.rejectionsOf(server) !== undefined;
        this.rejections.delete(server.id);
        const isRejecting = wasRejecting ? false : undefined;
        if (load === undefined) {
            return { ...NO_CHANGE, isRejecting };
        }
        this.statements.set(server.id, { startedAt: server.startedAt, load, statedAt: now, ownCalls, isOwn: true });
        return { isRejecting, isSlow: this.recordPace(server.id, load.pace) };
    }

    /**
     * Records that a server rejected a call of this entry without running it. An engine also rejects the calls in its queue
     * when it loads weights, so that the length of its queue tells nothing then.
     */
    recordRejection(
        server: fleet.BackendServer,
        { load, isEngine }: Rejection,
        ownCalls: number,
        now: number,
    ): StatedChange {
        const previous = this.rejectionsOf(server);
        const isRepeated = previous !== undefined && now < previous.excludedUntil + MAXIMUM_AGE_MS;
        // Calls that were on their way when the server began to reject must not prolong the exclusion.
        const isSameMoment = isRepeated && now < previous.excludedUntil;
        const count = !isRepeated ? 1 : isSameMoment ? previous.count : previous.count + 1;
        const exclusionMs = Math.min(MAXIMUM_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** (count - 1));
        if (load !== undefined) {
            this.statements.set(server.id, { startedAt: server.startedAt, load, statedAt: now, ownCalls, isOwn: true });
        }
        this.rejections.set(server.id, {
            startedAt: server.startedAt,
            count,
            rejectedAt: now,
            excludedUntil: isSameMoment ? previous.excludedUntil : now + exclusionMs,
            fullWaiting: load !== undefined && !isEngine && load.running >= load.slots ? load.waiting : undefined,
            isOwn: true,
        });
        return {
            isRejecting: isRepeated ? undefined : true,
            isSlow: load === undefined ? undefined : this.recordPace(server.id, load.pace),
        };
    }

    /** What is known of a server; undefined without a recent statement or rejection. */
    stateOf(server: fleet.BackendServer, observed: ObservedLoad, now: number): StatedState | undefined {
        const { counted, isEngine } = observed;
        const stated = this.statementOf(server, now);
        const statement = latest(stated, reportedStatement(server, observed, now));
        const rejections = this.rejectionsOf(server);
        const isExcluded = rejections !== undefined && now < rejections.excludedUntil;
        if (statement === undefined) {
            return isExcluded
                ? { calls: counted.total, waiting: 0, pace: 1, isFull: true, ageMs: now - rejections.rejectedAt }
                : undefined;
        }
        return {
            calls: estimateCalls(statement, counted, isEngine, now),
            waiting: statement.load.waiting * decay(now - statement.statedAt, halfLifeMs(isEngine)),
            pace: stated === undefined ? 1 : estimatePace(stated, now),
            isFull: isExcluded || hasFullQueue(statement, rejections, now),
            ageMs: now - statement.statedAt,
        };
    }

    /** Statements to this entry that tell peers more than their counts do, for the next heartbeat; the newest first. */
    snapshot(now: number): readonly peering.LoadStatement[] {
        const shared: peering.LoadStatement[] = [];
        for (const [server, { startedAt, load, statedAt, isOwn }] of this.statements) {
            const isRejecting = this.isRejectingSince(server, statedAt);
            if (isOwn && now - statedAt <= SHARED_AGE_MS && (isRejecting || isNotable(load))) {
                shared.push({ server, startedAt, load, ageMs: now - statedAt, isRejecting });
            }
        }
        return shared.sort((left, right) => left.ageMs - right.ageMs).slice(0, MAXIMUM_SHARED);
    }

    /** Adopts statements to a peer that are newer than the known ones. `ownCalls` returns this entry's calls at a server. */
    applyPeer(statements: readonly peering.LoadStatement[], ownCalls: (server: string) => number, now: number): void {
        for (const { server, startedAt, load, ageMs, isRejecting } of statements) {
            const statedAt = now - Math.max(0, ageMs);
            if (statedAt <= (this.statements.get(server)?.statedAt ?? Number.NEGATIVE_INFINITY)) {
                continue;
            }
            this.statements.set(server, { startedAt, load, statedAt, ownCalls: ownCalls(server), isOwn: false });
            if (isRejecting) {
                this.adoptRejection(server, startedAt, statedAt);
            }
        }
    }

    /** Drops what is known of servers that are not listed. */
    retain(servers: ReadonlySet<string>): void {
        for (const records of [this.statements, this.rejections, this.paces]) {
            [...records.keys()].filter(id => !servers.has(id)).forEach(id => records.delete(id));
        }
    }

    /** Adopts a rejection of a peer's call, which does not shorten an exclusion. */
    private adoptRejection(server: string, startedAt: number | undefined, rejectedAt: number): void {
        const known = this.rejections.get(server);
        const previous = known?.startedAt === startedAt ? known : undefined;
        const excludedUntil = Math.max(rejectedAt + FIRST_EXCLUSION_MS, previous?.excludedUntil ?? 0);
        const { count = 1, fullWaiting } = previous ?? {};
        this.rejections.set(server, { startedAt, count, rejectedAt, excludedUntil, fullWaiting, isOwn: false });
    }

    private statementOf(server: fleet.BackendServer, now: number): Statement | undefined {
        const statement = this.statements.get(server.id);
        return statement !== undefined && isSameRun(server, statement) && now - statement.statedAt <= MAXIMUM_AGE_MS
            ? statement
            : undefined;
    }

    private rejectionsOf(server: fleet.BackendServer): Rejections | undefined {
        const rejections = this.rejections.get(server.id);
        return rejections !== undefined && isSameRun(server, rejections) ? rejections : undefined;
    }

    private isRejectingSince(server: string, statedAt: number): boolean {
        const rejections = this.rejections.get(server);
        return rejections !== undefined && rejections.isOwn && rejections.rejectedAt >= statedAt;
    }

    /** Returns whether the server is slow, if that has changed. */
    private recordPace(server: string, pace: number): boolean | undefined {
        const { value, isSlow } = this.paces.get(server) ?? { value: 1, isSlow: false };
        const mean = value + (Math.min(MAXIMUM_PACE, pace) - value) * PACE_SAMPLE_WEIGHT;
        const becomesSlow = mean >= (isSlow ? USUAL_BELOW_PACE : SLOW_FROM_PACE);
        this.paces.set(server, { value: mean, isSlow: becomesSlow });
        return becomesSlow === isSlow ? undefined : becomesSlow;
    }
}

/** All slots are in use, or calls wait for memory. */
export function isOccupied({ running, waiting, slots }: fleet.StatedLoad): boolean {
    return waiting > 0 || running >= slots;
}

function isNotable(load: fleet.StatedLoad): boolean {
    return isOccupied(load) || load.pace < MINIMUM_USUAL_PACE || load.pace > MAXIMUM_USUAL_PACE;
}

/** The queue is as long as it was when the server last rejected a call, according to a fresh statement. */
function hasFullQueue(statement: Statement, rejections: Rejections | undefined, now: number): boolean {
    return rejections?.fullWaiting !== undefined && rejections.fullWaiting > 0
        && statement.load.waiting >= rejections.fullWaiting && now - statement.statedAt < LOAD_HALF_LIFE_MS;
}

/** A record may lack the time of the start; it is then taken for that of the run that made the statement. */
function isSameRun(server: fleet.BackendServer, { startedAt }: { readonly startedAt: number | undefined; }): boolean {
    return startedAt === undefined || server.startedAt === undefined || startedAt === server.startedAt;
}

function halfLifeMs(isEngine: boolean): number {
    return isEngine ? ENGINE_LOAD_HALF_LIFE_MS : LOAD_HALF_LIFE_MS;
}

/** The report of an agent as a statement; it tells nothing of the pace. */
function reportedStatement(
    server: fleet.BackendServer,
    { counted, reported }: ObservedLoad,
    now: number,
): Statement | undefined {
    if (reported === undefined || now - reported.receivedAt > MAXIMUM_AGE_MS) {
        return undefined;
    }
    const { running, waiting, receivedAt } = reported;
    return {
        startedAt: server.startedAt,
        load: { running, waiting, slots: server.slots, pace: 1 },
        statedAt: receivedAt - REPORT_AGE_MS,
        ownCalls: counted.own,
        isOwn: false,
    };
}

function latest(left: Statement | undefined, right: Statement | undefined): Statement | undefined {
    return left === undefined || right !== undefined && right.statedAt > left.statedAt ? right : left;
}

function decay(ageMs: number, halfLifeMs: number): number {
    return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}
