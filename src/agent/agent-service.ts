/** RPC service of the agent: passes requests to the engine or HTTP service and numbers the events of a stream. */
import type * as connect from "@connectrpc/connect";
import * as versions from "../configuration/versions.js";
import type * as ledgers from "../idempotency/call-ledger.js";
import type * as budgets from "../memory/budget.js";
import * as failureCodec from "../rpc/failure-codec.js";
import type * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as calls from "./call-service.js";
import type * as generations from "./generation-service.js";

type Service = connect.ServiceImpl<typeof messages.AgentService>;

export interface AgentServiceOptions {
    /** Undefined if the backend server is an engine. */
    readonly calls: calls.CallService | undefined;
    /** Undefined if the backend server is an HTTP service. */
    readonly generations: generations.GenerationService | undefined;
    /** Version of the configuration in force. */
    readonly manifestVersion: () => number;
    /** Counts a request as in flight until disposal; a graceful shutdown waits for such requests. */
    readonly trackWork: () => Disposable;
    readonly memory: budgets.MemoryBudget;
}

const NO_ENGINE = { kind: "no-backend-server", detail: "the agent has no engine" } as const;
/** Copies of a body or prompt that exist at once: as received, and as sent to the backend server. */
const CONTENT_COPIES = 2;
/** Bytes that a request takes besides its content. */
const REQUEST_BYTES = 32 * 1024;
/** Time in milliseconds after which a refused request may be tried again. */
const RETRY_AFTER_MS = 500;
const EXHAUSTED = { kind: "memory-exhausted", detail: "requests at the agent", retryAfterMs: RETRY_AFTER_MS } as const;

const NO_SERVICE = { kind: "no-backend-server", detail: "the agent has no HTTP service" } as const;

export function createAgentService(options: AgentServiceOptions): Service {
    const version = () => BigInt(options.manifestVersion());
    const reserve = (customer: string, contentBytes: number) =>
        options.memory.tryReserve(customer, "upload", contentBytes * CONTENT_COPIES + REQUEST_BYTES);
    return {
        async *generate(request, context) {
            using _work = options.trackWork();
            using memory = reserve(request.customer, request.prompt.length);
            let sequence = 0;
            const events = memory === undefined
                ? [{ case: "failed" as const, value: failureCodec.encode(EXHAUSTED) }]
                : options.generations?.generate(request, callerAddress(context), context.signal)
                    ?? [{ case: "failed" as const, value: failureCodec.encode(NO_ENGINE) }];
            for await (const event of events) {
                const { requestId, attempt } = request;
                yield { requestId, attempt, sequence, event, manifestVersion: version() };
                sequence++;
            }
        },
        async call(request, context) {
            using _work = options.trackWork();
            if (options.calls === undefined) {
                return { failure: failureCodec.encode(NO_SERVICE), manifestVersion: version() };
            }
            using memory = reserve(request.customer, request.body.length);
            if (memory === undefined) {
                return { failure: failureCodec.encode(EXHAUSTED), manifestVersion: version() };
            }
            const result = await options.calls.call(request, callerAddress(context), context.signal);
            return result.ok
                ? { ...encodeCallResult(result.value), manifestVersion: version() }
                : { failure: failureCodec.encode(result.failure), manifestVersion: version() };
        },
        async lookup(request, context) {
            if (options.calls === undefined) {
                return { failure: failureCodec.encode(NO_SERVICE), manifestVersion: version() };
            }
            const result = await options.calls.lookup(request, callerAddress(context));
            return result.ok
                ? { ...encodeLookup(result.value), manifestVersion: version() }
                : { failure: failureCodec.encode(result.failure), manifestVersion: version() };
        },
    };
}

/** RPC address of the calling process; empty if the request does not name it. */
function callerAddress(context: connect.HandlerContext): string {
    return context.requestHeader.get(versions.CALLER_HEADER) ?? "";
}

function encodeCallResult(result: ledgers.CallResult) {
    const { status, headers, body } = result.response;
    return {
        status,
        headers: Object.entries(headers).map(([name, value]) => ({ name, value })),
        body: new Uint8Array(body),
        replayed: result.replayed,
    };
}

function encodeLookup(result: ledgers.LookupResult) {
    if (result.state !== "done") {
        return { state: result.state };
    }
    return result.outcome.ok
        ? { state: result.state, ...encodeCallResult(result.outcome.value) }
        : { state: result.state, failure: failureCodec.encode(result.outcome.failure) };
}
