/** Runs one attempt of a generation on an agent. */
import * as connect from "@connectrpc/connect";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import * as eventCodec from "../streams/event-codec.js";
import * as sequencer from "../streams/sequencer.js";
import type * as streams from "../streams/types.js";
import type * as agentCallers from "./agent-caller.js";
import type * as serverSelections from "./server-selection.js";

/** Calls within one attempt, the first one included; each repeat requires that a newer configuration was adopted. */
const MAXIMUM_CALLS = 3;
/** A crashed server is usually available again within about a second. */
const NO_SERVER_RETRY_MS = 1000;

/** An admitted generation. */
export interface Generation {
    readonly requestId: string;
    readonly customer: string;
    readonly requirements: Omit<serverSelections.Requirements, "excluded" | "preferred">;
    readonly priority: "interactive" | "batch";
    readonly maxTokens: number;
    /** Identifies identical requests for the quarantine. */
    readonly fingerprint: string;
    /** No other request may run on the server at the same time. */
    readonly runAlone: boolean;
    readonly route: string;
}

/**
 * Streams the events of one attempt. When the agent rejects the call because this entry has an older configuration, the
 * entry adopts the newer one and calls the same agent again. The adoption aborts the request if its key was revoked.
 */
export async function* attemptEvents(
    agentCaller: agentCallers.AgentCaller,
    choice: serverSelections.Choice,
    generation: Generation,
    plan: streams.AttemptPlan,
    manifestVersion: () => number,
    signal: AbortSignal,
): AsyncGenerator<streams.StreamEvent, void, void> {
    const timeoutMs = Math.max(1, Math.round(plan.remainingMs));
    for (let callNumber = 1;; callNumber++) {
        const request = requestMessage(choice, generation, plan, manifestVersion());
        const mustRepeat = yield* callEvents(
            agentCaller,
            choice.address,
            request,
            { timeoutMs, signal },
            callNumber < MAXIMUM_CALLS,
        );
        if (!mustRepeat) {
            return;
        }
        signal.throwIfAborted();
    }
}

/** Shared, because `abort` without a reason creates an exception with a stack trace each time. */
const ABORT_REASON = new connect.ConnectError("the attempt was abandoned", connect.Code.Canceled);

/**
 * Cancels a call when the attempt is aborted, unless its terminal event has already arrived: cancelling costs both
 * processes more than reading the end of the stream, which is bounded by the deadline of the call.
 */
class CallCancellation implements Disposable {
    private readonly controller = new AbortController();
    private readonly cancel = () => this.controller.abort(ABORT_REASON);

    constructor(private readonly attempt: AbortSignal) {
        attempt.addEventListener("abort", this.cancel);
        if (attempt.aborted) {
            this.cancel();
        }
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Detaches from the attempt and reads the end of the stream in the background. */
    readEndInBackground(rest: AsyncIterator<unknown>): void {
        this[Symbol.dispose]();
        void rest.next().then(end => end.done === true ? undefined : this.cancel(), () => undefined);
    }

    [Symbol.dispose](): void {
        this.attempt.removeEventListener("abort", this.cancel);
    }
}

/** Returns true when the call must be repeated under a newer configuration, which is now in force. */
async function* callEvents(
    agentCaller: agentCallers.AgentCaller,
    address: string,
    request: ReturnType<typeof requestMessage>,
    settings: agentCallers.CallSettings,
    mayRepeat: boolean,
): AsyncGenerator<streams.StreamEvent, boolean, void> {
    using cancellation = new CallCancellation(settings.signal);
    const options = agentCaller.callOptions({ ...settings, signal: cancellation.signal });
    const messages = agentCaller.client(address).generate(request, options)[Symbol.asyncIterator]();
    try {
        for (let received = await messages.next(); received.done !== true; received = await messages.next()) {
            const message = received.value;
            const event = eventCodec.decode(message);
            const failure = event?.body.type === "failed" ? event.body.failure : undefined;
            const canRepeat = await agentCaller.adoptNewerConfiguration(
                address,
                Number(message.manifestVersion),
                failure,
            );
            if (event !== undefined && sequencer.TERMINAL_TYPES.has(event.body.type)) {
                cancellation.readEndInBackground(messages);
            }
            if (canRepeat && mayRepeat) {
                return true;
            }
            if (event !== undefined) {
                yield event;
            }
        }
        return false;
    }
    catch (error) {
        throw new failures.FailureError(agentCaller.failureOf(error, address));
    }
}

function requestMessage(
    choice: serverSelections.Choice,
    generation: Generation,
    plan: streams.AttemptPlan,
    manifestVersion: number,
) {
    const { requirements } = generation;
    return {
        requestId: generation.requestId,
        attempt: plan.attempt,
        customer: generation.customer,
        model: requirements.model.name,
        adapter: requirements.adapter,
        weightsVersion: requirements.weightsVersion,
        priority: generation.priority,
        prompt: requirements.prompt,
        maxTokens: generation.maxTokens,
        resumeTokens: [...plan.tokens],
        deadlineMs: Math.max(1, Math.round(plan.remainingMs)),
        manifestVersion: BigInt(manifestVersion),
        mayRedirect: plan.mayRedirect,
        fingerprint: generation.fingerprint,
        runAlone: generation.runAlone,
        route: generation.route,
        alternativeAddress: choice.alternative?.address ?? "",
        alternativeMs: Math.round(choice.alternative?.expectedMs ?? 0),
    };
}

/** Failure for a request that no server can run. */
export function noServerAvailable(requirements: Generation["requirements"]): outcomes.FailedOutcome {
    return outcomes.fail(
        "no-backend-server",
        `${requirements.model.name}@${requirements.weightsVersion}`,
        NO_SERVER_RETRY_MS,
    );
}
