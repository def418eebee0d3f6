/**
 * Keeps the refused fingerprints in the store, where they outlast the processes that found them. One record holds all of
 * them: they are few, and expired ones leave it with the next write.
 */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as storeAccess from "../store-access/types.js";
import * as policies from "./policy.js";
import * as records from "./record.js";
import type * as suspectTrackers from "./suspect-tracker.js";

export const RECORD_NAME = "refused";
/** Limit of the stored fingerprints, the latest ones first. */
const MAXIMUM_STORED = 256;
/** Longest random delay in milliseconds before an entry writes what a peer found, which most likely writes it itself. */
const PEER_DELAY_MS = 2000;
const RETRY_DELAY_MS = 700;

export interface RefusalRecordPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly store: storeAccess.RecordStore;
    readonly kind: string;
    readonly suspects: suspectTrackers.SuspectTracker;
}

export class RefusalRecord implements AsyncDisposable {
    private readonly stop = new AbortController();
    /** Contents of the record as far as this process knows. */
    private stored: readonly records.SuspectRecord[] = [];
    private writing: Promise<void> | undefined;

    constructor(private readonly ports: RefusalRecordPorts) {}

    /**
     * Adopts the record that was read from the store or from a peer's copy of it; undefined if there is none. The record may
     * lack what was written before, since the store may come back from an older copy.
     */
    adopt(record: storeAccess.StoredRecord | undefined): void {
        const { clock, suspects, journal } = this.ports;
        if (record === undefined) {
            this.stored = [];
            this.update(true);
            return;
        }
        const decoded = decode(record.spec);
        if (decoded === undefined) {
            journal.emit("suspect-document-invalid", { document: `${this.ports.kind}/${record.name}` });
            return;
        }
        this.stored = decoded;
        suspects.applyRecords(decoded, { now: clock.now(), wallTime: clock.wallTime() });
        this.update(true);
    }

    /** Writes the record if it lacks something that this process knows; `isFromPeer` delays that. */
    update(isFromPeer: boolean): void {
        if (this.writing === undefined && this.lacksRefusals()) {
            this.writing = this.write(isFromPeer).finally(() => {
                this.writing = undefined;
            });
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await this.writing;
    }

    private async write(isFromPeer: boolean): Promise<void> {
        const { clock, store, kind, suspects } = this.ports;
        if (isFromPeer) {
            await clock.sleep(clock.random() * PEER_DELAY_MS, this.stop.signal);
        }
        while (!this.stop.signal.aborted && this.lacksRefusals()) {
            const refusals = this.merged(suspects.refusals(clock.wallTime()));
            const outcome = await store.put(kind, RECORD_NAME, { refused: refusals });
            if (outcome.ok) {
                this.stored = refusals;
                return;
            }
            await clock.sleep(RETRY_DELAY_MS * (0.5 + clock.random()), this.stop.signal);
        }
    }

    private lacksRefusals(): boolean {
        const { clock, suspects } = this.ports;
        const stored = new Map(this.stored.map(record => [record.fingerprint, record]));
        const wallTime = clock.wallTime();
        const isStored = (record: records.SuspectRecord) => {
            const known = stored.get(record.fingerprint);
            return known !== undefined && records.version(records.merge(known, record)) === records.version(known);
        };
        const isCleared = (record: records.SuspectRecord) => suspects.isCleared(record.fingerprint, wallTime);
        return !suspects.refusals(wallTime).every(isStored) || this.stored.some(isCleared);
    }

    /** Refused fingerprints of this process and of the store, without those that are refused no more. */
    private merged(own: readonly records.SuspectRecord[]): readonly records.SuspectRecord[] {
        const wallTime = this.ports.clock.wallTime();
        const byFingerprint = new Map(this.stored.map(record => [record.fingerprint, record]));
        for (const record of own) {
            const known = byFingerprint.get(record.fingerprint) ?? records.empty(record.fingerprint);
            byFingerprint.set(record.fingerprint, records.merge(known, record));
        }
        const isRefused = (record: records.SuspectRecord) => {
            return records.verdict(record, wallTime, policies.sharedTrials) === "refuse"
                && !this.ports.suspects.isCleared(record.fingerprint, wallTime);
        };
        const latest = (record: records.SuspectRecord) => Math.max(...record.crashes.map(crash => crash.at));
        return [...byFingerprint.values()].filter(isRefused)
            .sort((left, right) => latest(right) - latest(left))
            .slice(0, MAXIMUM_STORED);
    }
}

function decode(spec: unknown): readonly records.SuspectRecord[] | undefined {
    const list = (spec as { readonly refused?: unknown; } | undefined)?.refused;
    return Array.isArray(list) && list.every(isSuspectRecord)
        ? list.map(record => records.merge(records.empty(record.fingerprint), record))
        : undefined;
}

function isSuspectRecord(value: unknown): value is records.SuspectRecord {
    const record = value as Partial<records.SuspectRecord> | undefined;
    return typeof record?.fingerprint === "string" && Array.isArray(record.cleared) && Array.isArray(record.crashes)
        && record.cleared.every(id => typeof id === "string")
        && record.crashes.every((crash: Partial<records.Crash> | undefined) => {
            return typeof crash?.id === "string" && typeof crash.server === "string"
                && typeof crash.alone === "boolean" && typeof crash.at === "number";
        });
}
