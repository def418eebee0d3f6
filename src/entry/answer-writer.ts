/** The response to a chat completion. */
import type * as clocks from "../clock/clock.js";
import type * as manifest from "../manifest/types.js";
import type * as recorders from "../metrics/recorder.js";
import type * as chatRequests from "../streams/chat-request.js";
import * as openai from "../streams/openai.js";
import type * as streams from "../streams/types.js";
import type * as attempts from "./generation-attempt.js";
import type * as intake from "./intake.js";
import type * as types from "./types.js";

const MILLISECONDS_PER_SECOND = 1000;

/** A validated request before its admission. */
export interface Chat {
    readonly request: chatRequests.ChatRequest;
    readonly model: manifest.Model;
    readonly adapter: string;
    readonly prompt: string;
    readonly priority: attempts.Generation["priority"];
}

export interface AnswerOptions {
    readonly recorder: recorders.Recorder;
    readonly clock: clocks.Clock;
}

/** Writes the answer to the caller, streamed or at once, and measures it. */
export class AnswerWriter {
    private readonly header: openai.ResponseMetadata;
    private readonly encode: (text: string) => string;
    private readonly texts: string[] = [];
    private readonly startedAt: number;
    private lastTokenAt = 0;

    constructor(
        private readonly chat: Chat,
        requestId: string,
        private readonly responder: types.Responder,
        private readonly admitted: intake.AdmittedRequest,
        private readonly options: AnswerOptions,
    ) {
        const created = Math.floor(options.clock.wallTime() / MILLISECONDS_PER_SECOND);
        this.header = { requestId, model: chat.request.model, created };
        this.encode = openai.tokenEncoder(this.header);
        this.startedAt = admitted.arrivedAt;
    }

    async token(token: streams.Token): Promise<void> {
        this.measure();
        if (!this.chat.request.stream) {
            this.texts.push(token.text);
            return;
        }
        this.begin();
        await this.responder.write(this.encode(token.text));
    }

    /** Ends the response; a failed stream that has begun ends with a typed error event and without `[DONE]`. */
    async finish(result: streams.Result): Promise<void> {
        if (result.ok) {
            this.options.recorder.count("output-tokens", this.admitted.customer, result.value.count);
        }
        if (this.chat.request.stream && (result.ok || this.responder.started)) {
            this.begin();
            this.responder.end(openai.endOfStream(this.header, result));
            return;
        }
        if (!result.ok) {
            this.responder.fail(result.failure.failure, result.failure.execution);
            return;
        }
        this.responder.begin(200, { "content-type": "application/json" });
        const body = openai.completionBody(this.header, this.texts.join(""), result.value);
        this.responder.end(JSON.stringify(body));
    }

    private begin(): void {
        if (this.responder.started) {
            return;
        }
        this.responder.begin(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        void this.responder.write(openai.encodeEvent(openai.roleChunk(this.header)));
    }

    private measure(): void {
        const { recorder, clock } = this.options;
        const now = clock.now();
        const isFirst = this.lastTokenAt === 0;
        const measure = isFirst ? "time-to-first-token" : "time-between-tokens";
        const since = isFirst ? this.startedAt : this.lastTokenAt;
        recorder.record(measure, this.admitted.customer, this.chat.priority, now - since);
        this.lastTokenAt = now;
    }
}
