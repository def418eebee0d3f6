/** Response to a chat completion. */
import type * as clocks from "../clock/clock.js";
import type * as manifest from "../manifest/types.js";
import type * as recorders from "../metrics/recorder.js";
import type * as chatRequests from "../streams/chat-request.js";
import * as openai from "../streams/openai.js";
import type * as streams from "../streams/types.js";
import type * as attempts from "./generation-attempt.js";
import type * as requestAdmissions from "./request-admission.js";
import type * as types from "./types.js";

const MILLISECONDS_PER_SECOND = 1000;

/** A validated chat completion request. */
export interface ValidatedChat {
    readonly request: chatRequests.ChatRequest;
    readonly model: manifest.Model;
    readonly adapter: string;
    readonly prompt: string;
    readonly priority: attempts.Generation["priority"];
}

export interface ResponseWriterOptions {
    readonly recorder: recorders.Recorder;
    readonly clock: clocks.Clock;
}

/** Writes the response to the caller, as a stream or as one JSON body, and records token latencies and counts. */
export class ResponseWriter {
    private readonly header: openai.ResponseMetadata;
    private readonly encodeToken: (text: string) => string;
    private readonly tokenTexts: string[] = [];
    private readonly arrivedAt: number;
    /** Monotonic time in milliseconds; 0 before the first token. */
    private lastTokenAt = 0;

    constructor(
        private readonly chat: ValidatedChat,
        requestId: string,
        private readonly responder: types.Responder,
        private readonly admitted: requestAdmissions.AdmittedRequest,
        private readonly options: ResponseWriterOptions,
    ) {
        const created = Math.floor(options.clock.wallTime() / MILLISECONDS_PER_SECOND);
        this.header = { requestId, model: chat.request.model, created };
        this.encodeToken = openai.tokenEncoder(this.header);
        this.arrivedAt = admitted.arrivedAt;
    }

    async writeToken(token: streams.Token): Promise<void> {
        this.recordTokenLatency();
        if (!this.chat.request.stream) {
            this.tokenTexts.push(token.text);
            return;
        }
        this.beginStream();
        await this.responder.write(this.encodeToken(token.text));
    }

    /** Ends the response. A stream that fails after it has started ends with an error event instead of `[DONE]`. */
    async finish(result: streams.Result): Promise<void> {
        if (result.ok) {
            this.options.recorder.count("output-tokens", this.admitted.customer, result.value.count);
        }
        if (this.chat.request.stream && (result.ok || this.responder.started)) {
            this.beginStream();
            this.responder.end(openai.endOfStream(this.header, result));
            return;
        }
        if (!result.ok) {
            this.responder.fail(result.failure.failure, result.failure.execution);
            return;
        }
        this.responder.begin(200, { "content-type": "application/json" });
        const body = openai.completionBody(this.header, this.tokenTexts.join(""), result.value);
        this.responder.end(JSON.stringify(body));
    }

    private beginStream(): void {
        if (this.responder.started) {
            return;
        }
        this.responder.begin(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        void this.responder.write(openai.encodeEvent(openai.roleChunk(this.header)));
    }

    private recordTokenLatency(): void {
        const { recorder, clock } = this.options;
        const now = clock.now();
        const isFirst = this.lastTokenAt === 0;
        const measure = isFirst ? "time-to-first-token" : "time-between-tokens";
        const since = isFirst ? this.arrivedAt : this.lastTokenAt;
        recorder.record(measure, this.admitted.customer, this.chat.priority, now - since);
        this.lastTokenAt = now;
    }
}
