/** RPC service of the agent: passes requests to the engine or HTTP service and numbers the events of a stream. */
import type * as connect from "@connectrpc/connect";
import * as versions from "../configuration/versions.js";
import type * as ledgers from "../idempotency/call-ledger.js";
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
}

const NO_ENGINE = { kind: "no-backend-server", detail: "the agent has no engine" } as const;
const NO_SERVICE = { kind: "no-backend-server", detail: "the agent has no HTTP service" } as const;

export function createAgentService(options: AgentServiceOptions): Service {
    const version = () => BigInt(options.manifestVersion());
    return {
        async *generate(request, context) {
            using _work = options.trackWork();
            let sequence = 0;
            const events = options.generations?.generate(request, callerAddress(context), context.signal)
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
