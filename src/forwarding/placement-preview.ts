/** Tells where a call would be placed now, and why, without placing, charging or sending it. */
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import type * as selection from "../placement/selection.js";
import type * as placement from "../placement/types.js";
import * as admissions from "./call-admission.js";
import type * as types from "./types.js";

/** Bytes of a call are not part of the question. */
const NO_BODY = Buffer.alloc(0);

/** The call that is asked about. */
export interface PreviewedCall {
    readonly host: string;
    readonly path: string;
    /** Name of the customer; undefined for a call without a key. */
    readonly customer: string | undefined;
    readonly head: fleet.CallHead;
}

export interface PreviewedServer {
    readonly server: string;
    readonly dataCentre: string;
    /** Why the server does not get the call; undefined if it may. */
    readonly excludedBy: placement.UnplacedReason | undefined;
    readonly costMs: number;
    /** The shared parts of the prompt are assigned to it. */
    readonly isPreferred: boolean;
    readonly calls: number;
    readonly pendingPromptTokens: number;
    readonly weightsVersion: number | undefined;
    readonly isCold: boolean;
    /** Duration of work relative to the usual one; 1 if nothing is known. */
    readonly pace: number;
}

/** `refused`: what the call would be answered with; otherwise the first of `servers` without an exclusion is the cheapest. */
export type Preview =
    | { readonly kind: "refused"; readonly reason: string; }
    | {
        readonly kind: "assessed";
        readonly route: string;
        readonly service: string;
        readonly priority: number;
        /** Calls of the service that wait at this entry. */
        readonly waiting: number;
        /** Kind of the prompt; undefined unless servers are divided between kinds. */
        readonly promptKind: placement.PromptKind | undefined;
        readonly servers: readonly PreviewedServer[];
    };

/** Reads a question: `host`, `path`, `customer`, `model`, `tokens` (PROMPT,OUTPUT), `parts` (ID:TOKENS,...) and `id`. */
export function decode(query: URLSearchParams): PreviewedCall {
    const text = (name: string) => query.get(name) ?? undefined;
    const [promptTokens = 0, outputTokens = 0] = (text("tokens") ?? "").split(",").map(decodeTokens);
    const parts = (text("parts") ?? "").split(",").filter(part => part !== "").map(part => {
        const [id = "", tokens = ""] = part.split(":");
        return { id, tokens: decodeTokens(tokens) };
    });
    return {
        host: text("host") ?? "",
        path: text("path") ?? "/",
        customer: text("customer"),
        head: {
            id: text("id") ?? "",
            deadlineMs: undefined,
            key: undefined,
            model: text("model"),
            promptTokens,
            maximumOutputTokens: outputTokens,
            expectedOutputTokens: outputTokens,
            hasTokenCounts: query.has("tokens"),
            parts,
            resumeAfter: undefined,
        },
    };
}

export function preview(ports: types.CallPorts, call: PreviewedCall): Preview {
    const table = ports.view.routingTable;
    if (table === undefined || !ports.view.isComplete) {
        return { kind: "refused", reason: "the entry knows no configuration or no servers yet" };
    }
    const route = routingTables.findRoute(table, call.host, call.path);
    if (route === undefined) {
        return { kind: "refused", reason: `no route for ${call.host}${call.path}` };
    }
    const customer = table.configuration.customers.find(({ name }) => name === call.customer);
    if (call.customer !== undefined && customer === undefined) {
        return { kind: "refused", reason: `no customer ${call.customer}` };
    }
    if (customer === undefined && !route.open && table.configuration.customers.length > 0) {
        return { kind: "refused", reason: `route ${route.name} needs the key of a customer` };
    }
    const service = routingTables.chooseService(route, call.head.id);
    if (service === undefined) {
        return { kind: "refused", reason: `route ${route.name} has no service` };
    }
    const tokens = customer === undefined ? 0 : routingTables.chargedTokens(customer, call.head);
    if (customer !== undefined && ports.quotas.waitMs(customer, tokens, ports.clock.now()) > 0) {
        return { kind: "refused", reason: `${customer.name} is over its rate for ${tokens} tokens` };
    }
    const request = { method: "POST", path: call.path, body: NO_BODY };
    const { placement } = admissions.preparePlacement(ports, { head: call.head, route, service, customer }, request);
    const standing = placement.standing();
    if (standing.kind === "refuse") {
        return { kind: "refused", reason: `calls like it crash servers: ${standing.fingerprint}` };
    }
    return {
        kind: "assessed",
        route: route.name,
        service,
        priority: admissions.priorityOf({ customer, route }),
        waiting: ports.queues.of(service).waitingForServer,
        promptKind: placement.promptKind,
        servers: placement.assess().map(describe),
    };
}

function describe({ candidate, excludedBy, costMs, isPreferred }: selection.Assessment): PreviewedServer {
    return {
        server: candidate.server.id,
        dataCentre: candidate.server.dataCentre,
        excludedBy,
        costMs: Math.round(costMs),
        isPreferred,
        calls: Math.round(candidate.calls),
        pendingPromptTokens: Math.round(candidate.pendingPromptTokens),
        weightsVersion: candidate.weightsVersion,
        isCold: candidate.isCold === true,
        pace: Number((candidate.stated?.pace ?? 1).toFixed(2)),
    };
}

function decodeTokens(text: string): number {
    const tokens = Number(text);
    return Number.isFinite(tokens) && tokens >= 0 ? tokens : 0;
}
