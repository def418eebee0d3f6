/** Opens one attempt of a generation at an agent. */
import * as connect from "@connectrpc/connect";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import * as eventCodec from "../streams/event-codec.js";
import * as sequencer from "../streams/sequencer.js";
import type * as streams from "../streams/types.js";
import type * as callers from "./agent-caller.js";
import type * as serverSelection from "./server-selection.js";

/** Rounds of agreement on the configuration within one attempt. */
const AGREEMENT_ROUNDS = 3;
/** A server that crashed is back within about a second. */
const NO_SERVER_RETRY_MS = 1000;

/** A generation that was admitted. */
export interface Generation {
    readonly requestId: string;
    readonly customer: string;
    readonly demand: Omit<serverSelection.Demand, "excluded" | "preferred">;
    readonly priority: "interactive" | "batch";
    readonly maxTokens: number;
    readonly fingerprint: string;
    readonly runAlone: boolean;
    readonly route: string;
}

/**
 * Streams the events of one attempt. A refusal because of an older configuration is answered by adopting the newer one
 * and asking the same agent again; the adoption ends the request when its key was revoked.
 */
export async function* attemptEvents(
    caller: callers.AgentCaller,
    choice: serverSelection.Choice,
    generation: Generation,
    plan: streams.AttemptPlan,
    manifestVersion: () => number,
    signal: AbortSignal,
): AsyncGenerator<streams.StreamEvent, void, void> {
    const timeoutMs = Math.max(1, Math.round(plan.remainingMs));
    for (let round = 1;; round++) {
        const request = requestMessage(choice, generation, plan, manifestVersion());
        const stale = yield* events(caller, choice.address, request, { timeoutMs, signal }, round < AGREEMENT_ROUNDS);
        if (!stale) {
            return;
        }
        signal.throwIfAborted();
    }
}

/** Without a reason, each `abort` creates an exception with a stack trace. */
const GIVEN_UP = new connect.ConnectError("the attempt was given up", connect.Code.Canceled);

/**
 * Cancels a call when the attempt is given up, but not once its terminal event has come: cancelling costs both
 * processes more than reading the end of the stream, which the deadline of the call bounds.
 */
class Cancellation implements Disposable {
    private readonly controller = new AbortController();
    private readonly cancel = () => this.controller.abort(GIVEN_UP);

    constructor(private readonly attempt: AbortSignal) {
        attempt.addEventListener("abort", this.cancel);
        if (attempt.aborted) {
            this.cancel();
        }
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Reads the end of the stream in the background. */
    complete(rest: AsyncIterator<unknown>): void {
        this[Symbol.dispose]();
        void rest.next().then(end => end.done === true ? undefined : this.cancel(), () => undefined);
    }

    [Symbol.dispose](): void {
        this.attempt.removeEventListener("abort", this.cancel);
    }
}

/** Returns true when the agent refused because of an older configuration and the newer one is now in force. */
async function* events(
    caller: callers.AgentCaller,
    address: string,
    request: ReturnType<typeof requestMessage>,
    settings: callers.CallSettings,
    mayAgree: boolean,
): AsyncGenerator<streams.StreamEvent, boolean, void> {
    using cancellation = new Cancellation(settings.signal);
    const options = caller.callOptions({ ...settings, signal: cancellation.signal });
    const messages = caller.client(address).generate(request, options)[Symbol.asyncIterator]();
    try {
        for (let received = await messages.next(); received.done !== true; received = await messages.next()) {
            const message = received.value;
            const event = eventCodec.decode(message);
            const failure = event?.body.type === "failed" ? event.body.failure : undefined;
            const agreed = await caller.agree(address, Number(message.manifestVersion), failure);
            if (event !== undefined && sequencer.TERMINAL_TYPES.has(event.body.type)) {
                cancellation.complete(messages);
            }
            if (agreed && mayAgree) {
                return true;
            }
            if (event !== undefined) {
                yield event;
            }
        }
        return false;
    }
    catch (error) {
        throw new failures.FailureError(caller.failureOf(error, address));
    }
}

function requestMessage(
    choice: serverSelection.Choice,
    generation: Generation,
    plan: streams.AttemptPlan,
    manifestVersion: number,
) {
    const { demand } = generation;
    return {
        requestId: generation.requestId,
        attempt: plan.attempt,
        customer: generation.customer,
        model: demand.model.name,
        adapter: demand.adapter,
        weightsVersion: demand.weightsVersion,
        priority: generation.priority,
        prompt: demand.prompt,
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

/** Refusal when no server can take the request. */
export function noServer(demand: Generation["demand"]): outcomes.FailedOutcome {
    return outcomes.fail("no-backend-server", `${demand.model.name}@${demand.weightsVersion}`, NO_SERVER_RETRY_MS);
}
