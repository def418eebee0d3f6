/** A read of the store that may go on while a new connection is tried: only then can a slow store be told from silence. */
import type * as outcomes from "../core/outcome.js";
import type * as types from "./types.js";

export interface ReadRequest<Value> {
    readonly reads: "listing" | "changes";
    /** Position of the copy when the call was made, to which its answer belongs. */
    readonly askedAt: types.Position;
    /** Time in milliseconds by which the store should respond. */
    readonly dueAt: number;
    readonly send: (options: types.ReadOptions) => Promise<outcomes.Outcome<Value>>;
}

export interface Answer<Value> {
    readonly outcome: outcomes.Outcome<Value>;
    readonly askedAt: types.Position;
}

export class StoreCall<Value> implements Disposable {
    readonly answer: Promise<Answer<Value>>;
    /** Resolves if there is no response at a time by which the store usually responds. */
    readonly overdue: Promise<"overdue">;
    private readonly abortion = new AbortController();
    private isAnswered = false;

    constructor(readonly request: ReadRequest<Value>, options: types.ReadOptions) {
        let onOverdue: () => void = () => undefined;
        this.overdue = new Promise(resolve => {
            onOverdue = () => resolve("overdue");
        });
        const { send, askedAt } = request;
        this.answer = send({ ...options, signal: this.abortion.signal, onOverdue }).then(outcome => {
            this.isAnswered = outcome.ok || outcome.failure.kind !== "store-no-response";
            return { outcome, askedAt };
        });
        // Nobody may be waiting any more when the call fails.
        this.answer.catch(() => undefined);
    }

    /** The store has responded, whatever the response was. */
    get hasResponse(): boolean {
        return this.isAnswered;
    }

    /** Resolves once the store responds; never if it does not. */
    async response(): Promise<Answer<Value>> {
        const answer = await this.answer.catch(() => undefined);
        return answer !== undefined && this.isAnswered ? answer : new Promise(() => undefined);
    }

    /** Gives the call up. */
    [Symbol.dispose](): void {
        this.abortion.abort();
    }
}
