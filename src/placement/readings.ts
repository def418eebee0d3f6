/**
 * Which shared prompt parts are being read at which servers, by this entry's calls and by those of its peers.
 *
 * After new weights are named no store has any part, and each call would have its server read parts that another one
 * reads at the same moment.
 */
import * as hashing from "../core/hashing.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";

/** Parts with fewer tokens are read as quickly as they are fetched. */
const LEAST_TOKENS = 1000;
/** Longest time in milliseconds between sending a call and its first event for which its parts count as being read. */
const LONGEST_READING_MS = 2000;
/** Time in milliseconds from reading a part until all entries see it in the store. */
const SAVING_MS = 600;

/** Parts that a call has a server read. */
export interface Reading extends Disposable {
    /** The server has read the parts and saves them to the store. */
    finished(now: number): void;
}

/** What is known of one part. */
export interface PartState {
    /** Servers that read the part or have just read it. */
    readonly servers: ReadonlySet<string>;
    /** Some server has read the part, so that the store has it or gets it now. */
    readonly isRead: boolean;
}

interface OwnReading {
    readonly entries: readonly peering.Prefill[];
    readonly endsAt: number;
}

export class Readings {
    private readonly own = new Map<object, OwnReading>();

    /** Notes that a server reads parts that no store has. Disposed of before its end, the server has not read them. */
    begin(scope: string, parts: readonly fleet.PromptPart[], server: string, now: number): Reading {
        const identity = {};
        const large = parts.filter(part => part.tokens >= LEAST_TOKENS);
        let isFinished = false;
        const note = (isRead: boolean, endsAt: number) => {
            const entries = large.map(part => ({ partHash: hashOf(scope, part.id), server, isComplete: isRead }));
            if (entries.length > 0) {
                this.own.set(identity, { entries, endsAt });
            }
        };
        note(false, now + LONGEST_READING_MS);
        return {
            finished: (at: number) => {
                isFinished = true;
                note(true, at + SAVING_MS);
            },
            [Symbol.dispose]: () => {
                if (!isFinished) {
                    this.own.delete(identity);
                }
            },
        };
    }

    /** Readings of this entry, for the next beat. */
    snapshot(now: number): readonly peering.Prefill[] {
        for (const [identity, { endsAt }] of this.own) {
            if (now >= endsAt) {
                this.own.delete(identity);
            }
        }
        return [...this.own.values()].flatMap(({ entries }) => entries);
    }

    /** What this entry and the peers whose beats are given say of a part. */
    stateOf(scope: string, part: string, beats: readonly peering.Heartbeat[], now: number): PartState {
        const hash = hashOf(scope, part);
        const all = [...this.snapshot(now), ...beats.flatMap(beat => beat.prefills)];
        const known = all.filter(reading => reading.partHash === hash);
        return {
            servers: new Set(known.map(reading => reading.server)),
            isRead: known.some(reading => reading.isComplete),
        };
    }
}

function hashOf(scope: string, part: string): number {
    return hashing.hash32(`${scope} ${part}`);
}
