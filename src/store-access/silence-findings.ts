/** Findings that open connections to the store were silent while new ones worked, by this process and by its peers. */

/** Time in milliseconds for which peers are told of a finding, so that a lost heartbeat does not matter. */
const TOLD_FOR_MS = 3000;

export interface SilenceFinding {
    /** Number of findings of its process so far; two silences may follow each other closely. */
    readonly number: number;
    /** Time in milliseconds since the connections that were opened before it are known to be silent. */
    readonly ageMs: number;
}

export class SilenceFindings {
    private number = 0;
    private foundAt = Number.NEGATIVE_INFINITY;
    /** Last finding that is known of each peer. */
    private readonly known = new Map<string, string>();

    /** Records a finding of this process: connections opened before `foundAt`, in milliseconds, are silent. */
    record(foundAt: number): void {
        this.number++;
        this.foundAt = foundAt;
    }

    /** Last finding of this process, for heartbeats; undefined if it is too old to be told. */
    latest(now: number): SilenceFinding | undefined {
        const ageMs = now - this.foundAt;
        return ageMs <= TOLD_FOR_MS ? { number: this.number, ageMs } : undefined;
    }

    /** Records a finding of a peer. Returns whether it is a new one. */
    learn(peer: string, incarnation: string, { number }: SilenceFinding): boolean {
        const finding = `${incarnation} ${number}`;
        const isNew = this.known.get(peer) !== finding;
        this.known.set(peer, finding);
        return isNew;
    }
}
