/** Work on the event loop of a process. */

/** What the event loop was busy with. */
export interface Work {
    /** What is read or handled, such as the answer of a server. */
    readonly kind: string;
    /** Id of the call that it belongs to; undefined for none. */
    readonly call: string | undefined;
    /** Id of the other process; undefined for none. */
    readonly peer: string | undefined;
}

/** Takes the times that pieces of work took. */
export interface WorkRecorder {
    /** Adds `elapsedMs` milliseconds without a pause, in which `bytes` were handled. */
    record(work: Work, elapsedMs: number, bytes: number): void;
}
