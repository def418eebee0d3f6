/** An inference engine for tests of placement: it prefills prompts in pieces between the tokens of its streams. */

/** Time of an engine step without prefill, in milliseconds, and prompt tokens that it prefills in a millisecond. */
const STEP_MS = 5;
const TOKENS_PER_MS = 40;
const PIECE_TOKENS = 2048;
const TOKENS_PER_EVENT = 5;

export interface EngineCall {
    readonly arrivedAt: number;
    readonly outputTokens: number;
    /** Called at the first event. */
    readonly onFirstEvent: (at: number) => void;
    readonly onEnd: (longestPauseMs: number) => void;
}

interface RunningCall extends EngineCall {
    uncachedTokens: number;
    tokens: number;
    lastEventAt: number;
    longestPauseMs: number;
}

export class PrefillEngine {
    private time = 0;
    private readonly prompts: RunningCall[] = [];
    private readonly streams = new Set<RunningCall>();

    /** `pace` is the time that a step takes relative to an engine that has its machine for itself. */
    constructor(private readonly pace = 1) {}

    add(call: EngineCall, uncachedTokens: number): void {
        this.time = Math.max(this.time, call.arrivedAt);
        this.prompts.push({ ...call, uncachedTokens, tokens: 0, lastEventAt: 0, longestPauseMs: 0 });
    }

    /** Runs the engine's steps up to the given time. */
    advance(to: number): void {
        while (this.time < to && this.prompts.length + this.streams.size > 0) {
            this.step();
        }
    }

    private step(): void {
        let room = PIECE_TOKENS;
        const begun: RunningCall[] = [];
        while (room > 0 && this.prompts.length > 0) {
            const prompt = this.prompts[0]!;
            const read = Math.min(room, prompt.uncachedTokens);
            prompt.uncachedTokens -= read;
            room -= read;
            if (prompt.uncachedTokens <= 0) {
                begun.push(this.prompts.shift()!);
            }
        }
        this.time += this.pace * (STEP_MS + (PIECE_TOKENS - room) / TOKENS_PER_MS);
        this.streams.forEach(stream => this.generate(stream));
        for (const call of begun) {
            call.onFirstEvent(this.time);
            call.lastEventAt = this.time;
            this.streams.add(call);
        }
    }

    private generate(stream: RunningCall): void {
        stream.tokens++;
        const isLast = stream.tokens >= stream.outputTokens;
        if (isLast || stream.tokens % TOKENS_PER_EVENT === 0) {
            stream.longestPauseMs = Math.max(stream.longestPauseMs, this.time - stream.lastEventAt);
            stream.lastEventAt = this.time;
        }
        if (isLast) {
            this.streams.delete(stream);
            stream.onEnd(stream.longestPauseMs);
        }
    }
}
