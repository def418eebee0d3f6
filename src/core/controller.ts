/** A controller reads and writes the blackboard on each step and owns the I/O of its feature. */
export interface Controller extends AsyncDisposable {
    readonly name: string;
    /** Runs one round. `now` is the monotonic time in milliseconds. */
    step(now: number): Promise<void>;
}
