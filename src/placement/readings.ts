/** Which shared prompt parts are being read at which servers, by this entry's calls and by those of its peers. */
import * as hashing from "../core/hashing.js";
import type * as peering from "../peering/types.js";

/** Parts with fewer tokens are read as quickly as they are fetched. */
const LEAST_TOKENS = 1000;
/** Longest time in milliseconds between sending a call and its first event for which its part counts as being read. */
const LONGEST_READING_MS = 2000;
/** Time in milliseconds from reading a part until all entries see it in the store. */
const SAVING_MS = 600;

/** Part that a call has a server read. */
export interface Reading extends Disposable {
    /** The server has read the part and saves it to the store. */
    finished(now: number): void;
}

export class Readings {
    private readonly own = new Map<object, { readonly entry: peering.Reading; readonly endsAt: number; }>();

    /** Notes that a server reads a part that no store has. Disposed of before its end, the server has not read it. */
    begin(part: string, tokens: number, server: string, now: number): Reading {
        const identity = {};
        let isFinished = false;
        const note = (endsAt: number) => {
            if (tokens >= LEAST_TOKENS) {
                this.own.set(identity, { entry: { part: hashing.hash32(part), server }, endsAt });
            }
        };
        note(now + LONGEST_READING_MS);
        return {
            finished: (at: number) => {
                isFinished = true;
                note(at + SAVING_MS);
            },
            [Symbol.dispose]: () => {
                if (!isFinished) {
                    this.own.delete(identity);
                }
            },
        };
    }

    /** Readings of this entry, for the next beat. */
    snapshot(now: number): readonly peering.Reading[] {
        for (const [identity, { endsAt }] of this.own) {
            if (now >= endsAt) {
                this.own.delete(identity);
            }
        }
        return [...this.own.values()].map(({ entry }) => entry);
    }

    /** Servers that read the part, as this entry and the peers whose beats are given say. */
    servers(part: string, beats: readonly peering.Beat[], now: number): ReadonlySet<string> {
        const hash = hashing.hash32(part);
        const all = [...this.snapshot(now), ...beats.flatMap(beat => beat.readings)];
        return new Set(all.filter(reading => reading.part === hash).map(reading => reading.server));
    }
}
