/**
 * An entry's knowledge of which calls crash servers: crashes and answers that it observes itself, and those of its peers.
 *
 * Each entry sees only its own calls at a crash, and calls with the same part reach all entries, so that no entry alone
 * finds the cause. The records are merged as sets; it does not matter in which order or how often they arrive, which
 * peer passes them on, and which of the peers that found them are gone.
 */
import type * as event from "../core/event.js";
import * as hashing from "../core/hashing.js";
import * as attribution from "./attribution.js";
import * as policies from "./policy.js";
import * as records from "./record.js";
import * as tables from "./table.js";
import type * as types from "./types.js";

/** Time in milliseconds for which a record without active crashes is kept, so that peers learn what cleared it. */
const SETTLED_RETENTION_MS = 60_000;
/** Time in milliseconds for which a changed record is in every message; others are only in every n-th. */
const RECENT_MS = 600;
const FULL_MESSAGE_INTERVAL = 16;
/** Limit of the records in one message. */
const MAXIMUM_SHARED_RECORDS = 64;
/** Time in milliseconds after which the trial of a peer that announced it no longer holds up others. */
const PEER_TRIAL_MS = 2000;
/** Mean delay in milliseconds of a trial for each entry, so that few entries begin one before the first announcement reaches them. */
const TRIAL_STAGGER_MS = 15;

const NO_SUSPECTS: types.SuspectState = { records: [], trials: [] };

/** A moment on both clocks of a process, in milliseconds. */
export interface Moment {
    readonly now: number;
    readonly wallTime: number;
}

export interface LostCalls {
    /** Identity of the run of the server that crashed, the same in all entries. */
    readonly server: string;
    /** Fingerprints of the calls that the server had not begun to answer. */
    readonly fingerprints: readonly string[];
    /** Those of calls that ran as trials. */
    readonly trials: ReadonlySet<string>;
}

/** A call that may run, or that has to wait for the trial of another call, or that is refused. */
export type Admission =
    | Exclude<attribution.Decision, { readonly kind: "run-alone"; }>
    | { readonly kind: "wait"; }
    | { readonly kind: "trial"; readonly suspects: readonly string[]; };

export interface TrackerPorts {
    readonly journal: event.Journal;
    /** Name of this entry. */
    readonly self: string;
    readonly entryCount: (now: number) => number;
    /** Called for changes that peers should learn at once. */
    readonly onUrgentChange: () => void;
    /** Called when a fingerprint is refused or a refused one is cleared. */
    readonly onRefusalsChange: () => void;
}

interface PeerTrials {
    readonly fingerprints: readonly string[];
    readonly receivedAt: number;
}

/** A call in flight that its server has not begun to answer. */
interface PendingCall {
    readonly fingerprints: () => readonly string[];
    readonly withdraw: () => void;
}

export class SuspectTracker {
    private table: tables.Table = new Map();
    private readonly changedAt = new Map<string, number>();
    private readonly ownTrials = new Map<string, number>();
    private readonly peerTrials = new Map<string, PeerTrials>();
    private readonly pendingCalls = new Set<PendingCall>();

    constructor(private readonly ports: TrackerPorts) {}

    /** Whether nothing is suspected, so that calls need no fingerprints. */
    get isEmpty(): boolean {
        return this.table.size === 0;
    }

    /** Decides whether a call may be sent to a server now. */
    decide(fingerprints: readonly string[], { now, wallTime }: Moment): Admission {
        const decision = attribution.decide(this.table, fingerprints, wallTime);
        if (decision.kind !== "run-alone") {
            return decision;
        }
        const { suspects, since } = decision;
        const isTried = suspects.some(suspect => this.ownTrials.has(suspect) || this.isTriedByPeer(suspect, now));
        return isTried || wallTime < since + this.staggerMs(suspects[0]!, now)
            ? { kind: "wait" }
            : { kind: "trial", suspects };
    }

    /** Reserves the trial of these fingerprints until it is disposed of. */
    beginTrial(suspects: readonly string[]): Disposable {
        suspects.forEach(suspect => this.ownTrials.set(suspect, (this.ownTrials.get(suspect) ?? 0) + 1));
        this.ports.journal.emit("trial-started", { fingerprints: suspects.join(" ") });
        this.ports.onUrgentChange();
        let isOver = false;
        return {
            [Symbol.dispose]: () => {
                if (isOver) {
                    return;
                }
                isOver = true;
                for (const suspect of suspects) {
                    const count = this.ownTrials.get(suspect)! - 1;
                    if (count === 0) {
                        this.ownTrials.delete(suspect);
                    }
                    else {
                        this.ownTrials.set(suspect, count);
                    }
                }
            },
        };
    }

    /** Registers a call in flight until its server begins to answer; it is withdrawn if it becomes refused before. */
    trackPending(call: PendingCall): Disposable {
        this.pendingCalls.add(call);
        return { [Symbol.dispose]: () => void this.pendingCalls.delete(call) };
    }

    /** Accuses the calls that a crash ended before the server began to answer them. */
    recordCrash(lost: LostCalls, moment: Moment): void {
        const { server, fingerprints: inFlight, trials } = lost;
        this.ports.journal.emit("requests-suspected", { server, requests: inFlight.length });
        const report = { server, boot: server, inFlight, trials };
        this.replace(tables.recordCrashWithTrials(this.table, report, moment.wallTime), inFlight, moment);
        this.ports.onUrgentChange();
    }

    /** Clears the fingerprints of a call that a server has begun to answer. */
    recordAnswer(fingerprints: readonly string[], moment: Moment): void {
        const accused = fingerprints.filter(fingerprint => this.activeCrashes(fingerprint, moment.wallTime) > 0);
        if (accused.length === 0) {
            return;
        }
        const isUrgent = accused.some(fingerprint => this.verdict(fingerprint, moment.wallTime) !== "run");
        let { table } = this;
        for (const fingerprint of accused) {
            table = tables.recordCompletion(table, fingerprint, moment.wallTime, policies.sharedTrials);
        }
        this.replace(table, accused, moment);
        if (isUrgent) {
            this.ports.journal.emit("suspect-cleared", { fingerprint: accused.join(" ") });
            this.ports.onUrgentChange();
        }
    }

    /** Records and trials for the heartbeat with this number. */
    snapshot(sequence: number, { now, wallTime }: Moment): types.SuspectState {
        if (this.isEmpty) {
            return NO_SUSPECTS;
        }
        this.forgetSettled({ now, wallTime });
        const isFull = sequence % FULL_MESSAGE_INTERVAL === 0;
        const shared = [...this.table.values()].filter(record => {
            return now - (this.changedAt.get(record.fingerprint) ?? now) <= RECENT_MS
                || this.verdict(record.fingerprint, wallTime) !== "run"
                || isFull && this.activeCrashes(record.fingerprint, wallTime) > 0;
        });
        const severity = ({ fingerprint }: records.SuspectRecord) => SEVERITY[this.verdict(fingerprint, wallTime)];
        const changedAt = ({ fingerprint }: records.SuspectRecord) => this.changedAt.get(fingerprint) ?? now;
        const first = shared.length <= MAXIMUM_SHARED_RECORDS
            ? shared
            : shared
                .sort((left, right) => severity(right) - severity(left) || changedAt(right) - changedAt(left))
                .slice(0, MAXIMUM_SHARED_RECORDS);
        return { records: first, trials: [...this.ownTrials.keys()] };
    }

    /** Merges what a peer knows. */
    applyPeer(peer: string, state: types.SuspectState, moment: Moment): void {
        if (state.trials.length > 0 || this.peerTrials.has(peer)) {
            const known = this.peerTrials.get(peer);
            const isSame = known?.fingerprints.join(" ") === state.trials.join(" ");
            // A trial that lasts longer than usual keeps its first time, so that a hanging one does not block others.
            const receivedAt = isSame ? known!.receivedAt : moment.now;
            this.peerTrials.set(peer, { fingerprints: state.trials, receivedAt });
        }
        this.applyRecords(state.records, moment);
    }

    /** Merges records from a peer or from the store. */
    applyRecords(received: readonly records.SuspectRecord[], moment: Moment): void {
        const added = received.filter(record => this.addsToTable(record, moment.wallTime));
        if (added.length === 0) {
            return;
        }
        let { table } = this;
        for (const record of added) {
            table = tables.mergeRecord(table, record, moment.wallTime);
        }
        this.replace(table, added.map(record => record.fingerprint), moment);
    }

    /** Records of the refused fingerprints, which have to outlast all processes. */
    refusals(wallTime: number): readonly records.SuspectRecord[] {
        return [...this.table.values()].filter(record => this.verdict(record.fingerprint, wallTime) === "refuse");
    }

    /** Whether a fingerprint was accused and is not refused any more. */
    isCleared(fingerprint: string, wallTime: number): boolean {
        return this.table.has(fingerprint) && this.verdict(fingerprint, wallTime) !== "refuse";
    }

    private addsToTable(record: records.SuspectRecord, wallTime: number): boolean {
        const known = this.table.get(record.fingerprint);
        if (known === undefined) {
            return records.activeCrashes(record, wallTime, policies.sharedTrials).length > 0;
        }
        const crashes = new Map(known.crashes.map(crash => [crash.id, crash]));
        return record.crashes.some(({ id, alone }) => !crashes.has(id) || alone && !crashes.get(id)!.alone)
            || record.cleared.some(id => !known.cleared.includes(id));
    }

    private replace(table: tables.Table, changed: readonly string[], moment: Moment): void {
        const before = this.table;
        this.table = tables.clearExplained(table, moment.wallTime, policies.sharedTrials);
        changed.forEach(fingerprint => this.changedAt.set(fingerprint, moment.now));
        for (const [fingerprint, record] of this.table) {
            if (record !== table.get(fingerprint)) {
                this.changedAt.set(fingerprint, moment.now);
            }
        }
        this.reportRefusals(before, changed, moment);
    }

    /** Logs fingerprints that became refused or are so no more, and withdraws their calls in flight. */
    private reportRefusals(before: tables.Table, changed: readonly string[], moment: Moment): void {
        const { wallTime } = moment;
        const isRefused = (table: tables.Table, fingerprint: string) => {
            return tables.verdict(table, fingerprint, wallTime, policies.sharedTrials) === "refuse";
        };
        const toggled = [...new Set(changed)].filter(fingerprint => {
            return isRefused(before, fingerprint) !== isRefused(this.table, fingerprint);
        });
        if (toggled.length === 0) {
            return;
        }
        for (const fingerprint of toggled.filter(candidate => isRefused(this.table, candidate))) {
            const servers = records.activeCrashes(this.table.get(fingerprint)!, wallTime, policies.sharedTrials);
            this.ports.journal.emit("request-quarantined", {
                fingerprint,
                server: servers.at(-1)?.server,
                crashes: servers.length,
            });
        }
        this.ports.onRefusalsChange();
        for (const call of [...this.pendingCalls]) {
            if (attribution.decide(this.table, call.fingerprints(), wallTime).kind === "refuse") {
                call.withdraw();
            }
        }
    }

    private isTriedByPeer(fingerprint: string, now: number): boolean {
        return [...this.peerTrials.values()].some(({ fingerprints, receivedAt }) => {
            return now - receivedAt <= PEER_TRIAL_MS && fingerprints.includes(fingerprint);
        });
    }

    private staggerMs(fingerprint: string, now: number): number {
        const unit = hashing.unitHash(`${this.ports.self}\u0000${fingerprint}`);
        return unit * 2 * TRIAL_STAGGER_MS * this.ports.entryCount(now);
    }

    private verdict(fingerprint: string, wallTime: number): keyof typeof SEVERITY {
        return tables.verdict(this.table, fingerprint, wallTime, policies.sharedTrials);
    }

    private activeCrashes(fingerprint: string, wallTime: number): number {
        const record = this.table.get(fingerprint);
        return record === undefined ? 0 : records.activeCrashes(record, wallTime, policies.sharedTrials).length;
    }

    private forgetSettled({ now, wallTime }: Moment): void {
        const settled = [...this.table.keys()].filter(fingerprint => {
            return this.activeCrashes(fingerprint, wallTime) === 0
                && now - (this.changedAt.get(fingerprint) ?? now) > SETTLED_RETENTION_MS;
        });
        if (settled.length > 0) {
            this.table = new Map([...this.table].filter(([fingerprint]) => !settled.includes(fingerprint)));
            settled.forEach(fingerprint => this.changedAt.delete(fingerprint));
        }
    }
}

const SEVERITY = { "run": 0, "run-alone": 1, "refuse": 2 } as const;
