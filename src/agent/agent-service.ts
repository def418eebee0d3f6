/** RPC service of the agent: turns messages into calls of the features and numbers the events of streams. */
import type * as connect from "@connectrpc/connect";
import * as versions from "../configuration/versions.js";
import type * as ledgers from "../idempotency/call-ledger.js";
import * as failureCodec from "../rpc/failure-codec.js";
import type * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as calls from "./call-service.js";
import type * as generations from "./generation-service.js";

type Service = connect.ServiceImpl<typeof messages.AgentService>;

export interface AgentServiceOptions {
    /** Absent on agents of engines. */
    readonly calls: calls.CallService | undefined;
    /** Absent on agents of plain services. */
    readonly generations: generations.GenerationService | undefined;
    /** Version of the configuration in force. */
    readonly manifestVersion: () => number;
    /** Counts work in flight for the graceful shutdown. */
    readonly enter: () => Disposable;
}

const NO_ENGINE = { kind: "no-backend-server", detail: "the agent has no engine" } as const;
const NO_SERVICE = { kind: "no-backend-server", detail: "the agent has no plain service" } as const;

export function createAgentService(options: AgentServiceOptions): Service {
    const version = () => BigInt(options.manifestVersion());
    return {
        async *generate(request, context) {
            using _work = options.enter();
            let sequence = 0;
            const events = options.generations?.generate(request, callerOf(context), context.signal)
                ?? [{ case: "failed" as const, value: failureCodec.encode(NO_ENGINE) }];
            for await (const event of events) {
                const { requestId, attempt } = request;
                yield { requestId, attempt, sequence, event, manifestVersion: version() };
                sequence++;
            }
        },
        async call(request, context) {
            using _work = options.enter();
            if (options.calls === undefined) {
                return { failure: failureCodec.encode(NO_SERVICE), manifestVersion: version() };
            }
            const result = await options.calls.call(request, callerOf(context), context.signal);
            return result.ok
                ? { ...answerOf(result.value), manifestVersion: version() }
                : { failure: failureCodec.encode(result.failure), manifestVersion: version() };
        },
        async lookup(request, context) {
            if (options.calls === undefined) {
                return { failure: failureCodec.encode(NO_SERVICE), manifestVersion: version() };
            }
            const result = await options.calls.lookup(request, callerOf(context));
            return result.ok
                ? { ...lookupOf(result.value), manifestVersion: version() }
                : { failure: failureCodec.encode(result.failure), manifestVersion: version() };
        },
    };
}

function callerOf(context: connect.HandlerContext): string {
    return context.requestHeader.get(versions.CALLER_HEADER) ?? "";
}

function answerOf(answer: ledgers.CallResult) {
    const { status, headers, body } = answer.response;
    return {
        status,
        headers: Object.entries(headers).map(([name, value]) => ({ name, value })),
        body: new Uint8Array(body),
        replayed: answer.replayed,
    };
}

function lookupOf(result: ledgers.LookupResult) {
    if (result.state !== "done") {
        return { state: result.state };
    }
    return result.outcome.ok
        ? { state: result.state, ...answerOf(result.outcome.value) }
        : { state: result.state, failure: failureCodec.encode(result.outcome.failure) };
}
