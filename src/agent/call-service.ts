/** Runs calls on the agent's HTTP service. */
import * as outcomes from "../core/outcome.js";
import type * as ledgers from "../idempotency/call-ledger.js";
import type * as services from "../idempotency/service-client.js";
import type * as types from "../idempotency/types.js";
import type * as manifest from "../manifest/types.js";
import type * as httpClients from "../object-api/http-client.js";
import type * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as guards from "./request-guard.js";

export interface CallServiceOptions {
    readonly guard: guards.RequestGuard;
    readonly ledger: ledgers.CallLedger;
    readonly client: services.ServiceClient;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

export type CallOutcome = outcomes.Outcome<ledgers.CallResult>;

export class CallService {
    constructor(private readonly options: CallServiceOptions) {}

    /** Runs a call. A call of a route that is not idempotent runs at most once. */
    async call(request: messages.CallRequest, callerAddress: string, signal: AbortSignal): Promise<CallOutcome> {
        const route = await this.resolveRoute(request, callerAddress);
        if (!route.ok) {
            return route;
        }
        const deadline = this.options.now() + request.deadlineMs;
        return route.value.idempotent
            ? this.runIdempotent(request, deadline)
            : this.runAtMostOnce(request, route.value, deadline, signal);
    }

    /** Reads the outcome of a call without running it. */
    async lookup(
        request: messages.LookupRequest,
        callerAddress: string,
    ): Promise<outcomes.Outcome<ledgers.LookupResult>> {
        const route = await this.resolveRoute(request, callerAddress);
        if (!route.ok) {
            return route;
        }
        return this.options.ledger.lookup({
            customer: request.customer,
            route: route.value,
            key: request.idempotencyKey,
            requestId: request.idempotencyKey,
            deadline: this.options.now() + request.deadlineMs,
        });
    }

    private async resolveRoute(
        request: messages.CallRequest | messages.LookupRequest,
        callerAddress: string,
    ): Promise<outcomes.Outcome<manifest.Route>> {
        const configuration = await this.options.guard.check({
            customer: request.customer,
            manifestVersion: Number(request.manifestVersion),
            callerAddress,
        });
        if (!configuration.ok) {
            return configuration;
        }
        const route = configuration.value.routes.find(candidate => candidate.name === request.route);
        if (route === undefined) {
            return outcomes.fail("route-unknown", request.route);
        }
        return request.customer === "" && !route.open
            ? outcomes.fail("customer-unknown", "a keyed route needs a customer")
            : outcomes.succeed(route);
    }

    private runAtMostOnce(
        request: messages.CallRequest,
        route: manifest.Route,
        deadline: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const call: ledgers.Call = {
            customer: request.customer,
            route,
            key: request.idempotencyKey,
            requestId: request.requestId,
            attempt: request.attempt,
            bodyHash: request.fingerprint,
            deadline,
            signal,
        };
        return this.options.ledger.run(call, permit =>
            this.options.client.call({
                ...toServiceCall(request),
                serviceKey: permit.serviceKey,
                timeoutMs: permit.timeoutMs,
                mayStart: () => permit.mayStart(),
            }));
    }

    private async runIdempotent(request: messages.CallRequest, deadline: number): Promise<CallOutcome> {
        const result = await this.options.client.call({
            ...toServiceCall(request),
            serviceKey: "",
            timeoutMs: Math.max(1, deadline - this.options.now()),
        });
        return RESULT_HANDLERS[result.kind](result as never);
    }
}

function toServiceCall(request: messages.CallRequest) {
    return {
        method: request.method as services.ServiceCall["method"],
        target: request.target,
        headers: request.headers,
        body: request.body,
        requestId: request.requestId,
    };
}

const RESULT_HANDLERS: {
    readonly [Kind in httpClients.HttpResult["kind"]]: (
        result: Extract<httpClients.HttpResult, { readonly kind: Kind; }>,
    ) => CallOutcome;
} = {
    "answered": result =>
        outcomes.succeed({ response: result.response satisfies types.ServiceResponse, replayed: false }),
    "oversized": () => outcomes.fail("service-response-too-large", "the response exceeds the limit"),
    "not-sent": result => outcomes.fail("service-unreachable", result.detail),
    "lost": result => outcomes.fail("service-connection-lost", result.detail),
};
