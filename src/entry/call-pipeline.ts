/** Request pipeline for calls to HTTP services. */
import * as hashing from "../core/hashing.js";
import * as outcomes from "../core/outcome.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as boards from "../daemon/board.js";
import * as decisions from "../idempotency/attempt-decision.js";
import * as records from "../idempotency/record-group.js";
import type * as manifest from "../manifest/types.js";
import type * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as agentCallers from "./agent-caller.js";
import type * as requestAdmissions from "./request-admission.js";
import * as routeTable from "./route-table.js";
import type * as serverHealths from "./server-health.js";
import type * as types from "./types.js";

const IDEMPOTENCY_HEADER = "idempotency-key";
const MAXIMUM_KEY_CHARACTERS = 255;
const MAXIMUM_ATTEMPTS = 3;
/** Added to the deadline of a call, so that the response of an agent that times out at the deadline still arrives. */
const RESPONSE_MARGIN_MS = 200;

export interface CallPipelineOptions {
    readonly board: boards.Board;
    readonly requestAdmission: requestAdmissions.RequestAdmission;
    readonly agentCaller: agentCallers.AgentCaller;
    readonly health: serverHealths.ServerHealth;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly random: () => number;
}

/** A call after its admission. */
interface AdmittedCall {
    readonly request: types.InboundRequest;
    readonly route: manifest.Route;
    /** Empty on open routes. */
    readonly customer: string;
    /** Empty on idempotent routes. */
    readonly idempotencyKey: string;
    readonly keyOrigin: decisions.AttemptHistory["keyOrigin"];
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    readonly signal: AbortSignal;
}

type Result = outcomes.Outcome<ServiceResponse>;

interface ServiceResponse {
    readonly status: number;
    readonly headers: readonly messages.Header[];
    readonly body: Uint8Array;
    /** The response comes from the record of an earlier call with the same key. */
    readonly replayed: boolean;
}

export class CallPipeline {
    constructor(private readonly options: CallPipelineOptions) {}

    readonly handle: types.Handler = async (request, responder, disconnected) => {
        const { board } = this.options;
        const path = request.target.split("?")[0];
        const route = routeTable.findRoute(board.read("configuration").routes, request.method, path);
        if (route === undefined) {
            responder.fail({ kind: "route-unknown", detail: `${request.method} ${path}` });
            return;
        }
        const admission = await this.options.requestAdmission.admit(request, disconnected, {
            open: route.open,
            measureClass: route.name,
            validate: () => validateIdempotencyKey(request),
        });
        if (!admission.ok) {
            responder.fail(admission.failure);
            return;
        }
        using admitted = admission.value.request;
        const result = await this.run(request, route, admitted);
        admitted.recordResult(result);
        respond(responder, result, route.idempotent ? "" : idempotencyKeyOf(request, request.id).key);
    };

    private async run(
        request: types.InboundRequest,
        route: manifest.Route,
        admitted: requestAdmissions.AdmittedRequest,
    ): Promise<Result> {
        const { key, origin } = idempotencyKeyOf(request, request.id);
        const call: AdmittedCall = {
            request,
            route,
            customer: admitted.customer,
            idempotencyKey: route.idempotent ? "" : key,
            keyOrigin: origin,
            deadline: this.options.now() + route.deadlineMs,
            signal: admitted.signal,
        };
        const result = route.idempotent ? await this.runIdempotent(call) : await this.runAtMostOnce(call);
        const termination = admitted.terminationFailure();
        return !result.ok && termination !== undefined && result.failure.kind !== "outcome-unknown"
            ? { ok: false, failure: termination }
            : result;
    }

    /** Tries agents in random order; the call is idempotent and may run more than once. */
    private async runIdempotent(call: AdmittedCall): Promise<Result> {
        const agents = this.rankedAgents(call.route, String(this.options.random()));
        let result: Result = outcomes.fail("no-backend-server", call.route.service);
        for (const [index, address] of agents.slice(0, MAXIMUM_ATTEMPTS).entries()) {
            result = await this.attempt(call, address, index + 1);
            const mayRetry = !call.signal.aborted && this.options.now() < call.deadline;
            if (result.ok || !mayRetry || !this.options.health.tryRetry(address, this.options.now())) {
                return result;
            }
        }
        return result;
    }

    /**
     * Retries and looks up the call as `attempt-decision.ts` decides, so that it runs at most once and is reported as
     * `not-run` only if it did not run.
     */
    private async runAtMostOnce(call: AdmittedCall): Promise<Result> {
        const group = records.groupName(records.recordId(call.customer, call.route.name, call.idempotencyKey));
        const agents = [...this.rankedAgents(call.route, group)];
        if (agents.length === 0) {
            return call.keyOrigin === "generated"
                ? outcomes.fail("no-backend-server", call.route.service)
                : outcomes.fail("repeat-unsettled", "no agent can read the record");
        }
        let history = decisions.initialHistory(call.keyOrigin);
        let attempt = 1;
        let address = agents.shift() as string;
        let result = await this.attempt(call, address, attempt);
        let outcome = attemptOutcome(result);
        for (;;) {
            const step = decisions.decide(history, outcome, {
                remainingMs: call.deadline - this.options.now(),
                untriedAgents: agents.length,
                mayRetry: attempt < MAXIMUM_ATTEMPTS && !call.signal.aborted && this.tryRetry(address, outcome),
            });
            history = step.history;
            if (step.decision.kind === "deliver") {
                return result;
            }
            if (step.decision.kind === "refuse") {
                return { ok: false, failure: step.decision.failure };
            }
            address = agents.shift() as string;
            if (step.decision.kind === "retry") {
                attempt++;
                result = await this.attempt(call, address, attempt);
                outcome = attemptOutcome(result);
                continue;
            }
            const lookup = await this.lookup(call, address);
            result = lookup.result;
            outcome = lookup.outcome;
        }
    }

    /** Only a retry after a failed attempt uses the retry budget of the server. */
    private tryRetry(address: string, outcome: decisions.AttemptOutcome): boolean {
        const failed = outcome.kind !== "answered" && outcome.kind !== "looked-up";
        return !failed || this.options.health.tryRetry(address, this.options.now());
    }

    private async attempt(call: AdmittedCall, address: string, attempt: number): Promise<Result> {
        const { health, now } = this.options;
        const remainingMs = Math.max(1, Math.round(call.deadline - now()));
        health.requestSent(address, attempt === 1, now());
        const response = await this.options.agentCaller.call(
            address,
            { timeoutMs: remainingMs + RESPONSE_MARGIN_MS, signal: call.signal },
            (client, manifestVersion, callOptions) =>
                client.call({
                    requestId: call.request.id,
                    attempt,
                    customer: call.customer,
                    route: call.route.name,
                    method: call.request.method,
                    target: call.request.target,
                    headers: forwardedHeaders(call.request),
                    body: call.request.body,
                    idempotencyKey: call.idempotencyKey,
                    deadlineMs: remainingMs,
                    manifestVersion,
                    fingerprint: fingerprint(call.request),
                }, callOptions),
        );
        if (!response.ok) {
            health.requestFailed(address, response.failure, now());
            return response;
        }
        health.requestSucceeded(address, now());
        return outcomes.succeed(response.value);
    }

    private async lookup(
        call: AdmittedCall,
        address: string,
    ): Promise<{ readonly result: Result; readonly outcome: decisions.AttemptOutcome; }> {
        const remainingMs = Math.max(1, Math.round(call.deadline - this.options.now()));
        const response = await this.options.agentCaller.call(
            address,
            { timeoutMs: remainingMs + RESPONSE_MARGIN_MS, signal: call.signal },
            (client, manifestVersion, callOptions) =>
                client.lookup({
                    customer: call.customer,
                    route: call.route.name,
                    idempotencyKey: call.idempotencyKey,
                    deadlineMs: remainingMs,
                    manifestVersion,
                }, callOptions),
        );
        if (!response.ok) {
            return { result: response, outcome: { kind: "looked-up", state: "no-answer" } };
        }
        const { state, status, headers, body } = response.value;
        const result = outcomes.succeed({ status, headers, body, replayed: true });
        return { result, outcome: { kind: "looked-up", state: state as decisions.LookupState } };
    }

    /** Addresses of the live agents of the service, in rendezvous order for the key. */
    private rankedAgents(route: manifest.Route, key: string): readonly string[] {
        const { board } = this.options;
        const { backendServers } = board.read("configuration");
        const nodes = [...board.read("members").values()].flatMap(member => {
            const server = backendServers.get(member.backendServer);
            const isCandidate = member.state === "live" && server?.service === route.service;
            return isCandidate ? [{ id: member.incarnation.address, weight: server.weight }] : [];
        });
        const available = this.options.health.available(nodes.map(node => node.id), this.options.now());
        return rendezvous.rank(key, nodes.filter(node => available.has(node.id))).map(node => node.id);
    }
}

function idempotencyKeyOf(
    request: types.InboundRequest,
    generated: string,
): { readonly key: string; readonly origin: decisions.AttemptHistory["keyOrigin"]; } {
    const header = request.headers[IDEMPOTENCY_HEADER];
    const key = Array.isArray(header) ? header[0] : header;
    return key === undefined || key === "" ? { key: generated, origin: "generated" } : { key, origin: "caller" };
}

function validateIdempotencyKey(request: types.InboundRequest): outcomes.Outcome<void> {
    return idempotencyKeyOf(request, request.id).key.length > MAXIMUM_KEY_CHARACTERS
        ? outcomes.fail("request-malformed", `the idempotency key exceeds ${MAXIMUM_KEY_CHARACTERS} characters`)
        : outcomes.succeed(undefined);
}

function fingerprint(request: types.InboundRequest): string {
    return hashing.sha256([request.method, request.target, Buffer.from(request.body).toString("base64")].join("\n"));
}

/** Removes credentials, so that the API key of the caller does not reach the agent; the agent filters again. */
function forwardedHeaders(request: types.InboundRequest) {
    return Object.entries(request.headers)
        .filter(([name]) => !CREDENTIAL_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: Array.isArray(value) ? value.join(", ") : value ?? "" }));
}

const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
    "authorization",
    "proxy-authorization",
    "cookie",
    "x-api-key",
    "api-key",
]);

function attemptOutcome(result: Result): decisions.AttemptOutcome {
    if (result.ok) {
        return { kind: "answered" };
    }
    return { kind: OUTCOME_KIND_BY_FAILURE[result.failure.kind] ?? "refused", failure: result.failure };
}

const OUTCOME_KIND_BY_FAILURE: Readonly<Record<string, "not-sent" | "lost">> = {
    "peer-unreachable": "not-sent",
    "peer-connection-lost": "lost",
    "deadline-exceeded": "lost",
};

function respond(responder: types.Responder, result: Result, key: string): void {
    const keyHeader: Readonly<Record<string, string>> = key === "" ? {} : { [IDEMPOTENCY_HEADER]: key };
    if (!result.ok) {
        responder.fail(result.failure);
        return;
    }
    const headers = Object.fromEntries(result.value.headers.map(header => [header.name, header.value]));
    const replayed: Readonly<Record<string, string>> = result.value.replayed ? { "idempotent-replayed": "true" } : {};
    responder.begin(result.value.status, { ...headers, ...keyHeader, ...replayed });
    responder.end(result.value.body);
}
