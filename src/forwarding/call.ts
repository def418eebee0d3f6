/** One call from its head to its final answer. */
import type * as http from "node:http";
import * as catalogue from "../catalogue/failures.js";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import * as selection from "../placement/selection.js";
import type * as placement from "../placement/types.js";
import * as answers from "./answer.js";
import * as bodies from "./body-reader.js";
import * as exchanges from "./exchange.js";
import * as promptCaches from "./prompt-cache.js";
import * as retries from "./retry-decision.js";
import type * as types from "./types.js";

/** Longest wait for a server, as a share of the time that the caller gave and in milliseconds. */
const WAIT_SHARE = 0.4;
const LONGEST_WAIT_MS = 1000;
/** Time in milliseconds after which a caller may come back, by the reason for which no server took its call. */
const RETURN_AFTER_MS: Readonly<Record<placement.UnplacedReason, number>> = {
    "no-server": 500,
    "all-suspected": 400,
    "all-outdated": 500,
    "all-moving": 300,
    "all-full": 400,
};
const RETURN_AFTER_TURNED_AWAY_MS = 300;
const RETURN_AFTER_START_MS = 500;
const RETURN_AFTER_CLOSING_MS = 50;
/** Time in milliseconds for which a server is avoided; one that has been replaced leaves the registry within seconds. */
const MISMATCH_MS = { weights: 200, server: 5000 } as const;
/** Time in milliseconds that a call without a deadline of its own and without a route timeout may take. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Longest wait in milliseconds for shared parts that another call has read; reading them takes about as long. */
const READING_WAIT_MS = 350;
const READING_STEP_MS = 40;

type ServerChoice = placement.PlacementDecision & { readonly kind: "server"; };

/** What the intake of a call found out. */
interface Admission {
    readonly head: fleet.CallHead;
    readonly route: fleet.Route;
    readonly service: string;
    readonly customer: fleet.Customer | undefined;
    readonly body: Buffer;
    readonly chargedTokens: number;
    readonly expiresAt: number;
    readonly cache: promptCaches.PromptCache;
}

export class Call {
    private readonly arrivedAt: number;
    private readonly answer: answers.Answer;
    private admission: Admission | undefined;
    /** Ends the step that the call waits for. */
    private interrupt: (() => void) | undefined;
    private isOver = false;
    private isAttempting = false;
    private expiry: NodeJS.Timeout | undefined;
    private ran = 0;
    private turnedAway = 0;
    private attempts = 0;
    private readonly tried = new Set<string>();

    constructor(
        private readonly ports: types.CallPorts,
        private readonly request: http.IncomingMessage,
        response: http.ServerResponse,
    ) {
        this.arrivedAt = ports.clock.now();
        this.answer = new answers.Answer(response, ports);
        response.on("close", () => this.callerClosed());
    }

    async run(): Promise<void> {
        const admission = await this.admit();
        if (admission === undefined) {
            this.finish();
            return;
        }
        this.admission = admission;
        const leftMs = admission.expiresAt - this.ports.clock.now();
        this.expiry = setTimeout(() => this.expire(), Math.max(0, leftMs));
        while (!this.isOver) {
            const choice = await this.place(admission);
            if (choice === undefined || this.isOver) {
                break;
            }
            const end = await this.attempt(admission, choice);
            this.ports.rooms.step(admission.service);
            if (end === undefined || !this.continueAfter(admission, choice, end)) {
                break;
            }
        }
        this.finish();
    }

    private get elapsedMs(): number {
        return this.ports.clock.now() - this.arrivedAt;
    }

    /** Checks the call against the configuration, reads its body and charges it. Answers and returns nothing if refused. */
    private async admit(): Promise<Admission | undefined> {
        const { dialect, view } = this.ports;
        const head = dialect.decodeCall(this.request.headers);
        if (head === undefined) {
            return this.refuse("call-invalid", "no request id");
        }
        this.answer.callId = head.id;
        const bodyLimit = view.table?.configuration.limits.bodyBytes ?? Number.MAX_SAFE_INTEGER;
        const body = await bodies.readBody(this.request, bodyLimit);
        if (body.kind === "aborted" || this.isOver) {
            return undefined;
        }
        if (body.kind === "too-large") {
            return this.refuse("call-too-large", `more than ${bodyLimit} bytes`);
        }
        if (this.ports.isClosing()) {
            return this.refuse("entry-closing", "", RETURN_AFTER_CLOSING_MS);
        }
        const table = view.table;
        if (table === undefined || !view.isComplete) {
            return this.refuse("entry-not-configured", "no configuration or no servers", RETURN_AFTER_START_MS);
        }
        return this.authorize(table, head, body.body);
    }

    private authorize(table: routingTables.RoutingTable, head: fleet.CallHead, body: Buffer): Admission | undefined {
        const path = this.request.url ?? "/";
        const host = this.request.headers.host ?? "";
        const route = routingTables.findRoute(table, host, path);
        if (route === undefined) {
            return this.refuse("call-route-unknown", `${host}${path.split("?")[0]}`);
        }
        const customer = head.key === undefined ? undefined : table.customersByKey.get(head.key);
        const needsKey = !route.open && table.configuration.customers.length > 0;
        if (needsKey && customer === undefined) {
            return this.refuse("call-key-unknown", route.name);
        }
        const service = routingTables.chooseService(route, head.id);
        if (service === undefined) {
            return this.refuse("no-server-available", `route ${route.name} has no service`, RETURN_AFTER_START_MS);
        }
        const chargedTokens = customer === undefined ? 0 : routingTables.chargedTokens(customer, head);
        const quotaWaitMs = customer === undefined
            ? 0
            : this.ports.quotas.admit(customer, chargedTokens, this.ports.clock.now());
        if (quotaWaitMs > 0) {
            return this.refuse("over-quota", `${customer!.name} for ${chargedTokens} tokens`, quotaWaitMs);
        }
        const limitMs = Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
        const expiresAt = this.arrivedAt + limitMs;
        const cache = new promptCaches.PromptCache(this.ports, head, customer);
        return { head, route, service, customer, body, chargedTokens, expiresAt, cache };
    }

    /** Waits for a server that can take the call. Nothing when the call has been answered instead. */
    private async place(admission: Admission): Promise<ServerChoice | undefined> {
        const room = this.ports.rooms.of(admission.service);
        const first = await this.chooseWhenRead(admission);
        if (first.kind === "server" && room.size === 0 || this.isOver) {
            return first.kind === "server" ? first : undefined;
        }
        const now = this.ports.clock.now();
        const waitMs = Math.min(LONGEST_WAIT_MS, WAIT_SHARE * (admission.expiresAt - this.arrivedAt));
        const giveUpAt = Math.max(now, this.arrivedAt + waitMs);
        let reason: placement.UnplacedReason = first.kind === "none" ? first.reason : "all-full";
        this.log("call-waits", { reason, waiting: room.size, service: admission.service, limitMs: Math.round(waitMs) });
        return new Promise(resolve => {
            const waiter = {
                priority: priorityOf(admission),
                arrivedAt: this.arrivedAt,
                giveUpAt,
                tryPlace: () => {
                    const choice = this.choose(admission);
                    if (choice.kind === "none") {
                        reason = choice.reason;
                        return false;
                    }
                    resolve(choice);
                    return true;
                },
                giveUp: () => {
                    this.refuseWaiting(admission, reason);
                    resolve(undefined);
                },
            };
            this.interrupt = () => {
                room.leave(waiter);
                resolve(undefined);
            };
            this.ports.rooms.enter(admission.service, waiter);
        });
    }

    /** Chooses a server, after a short wait for shared parts that another call has read now. */
    private async chooseWhenRead(admission: Admission): Promise<placement.PlacementDecision> {
        let choice = this.choose(admission);
        const since = this.ports.clock.now();
        let waitedMs = 0;
        while (choice.kind === "server" && this.attempts === 0 && !this.isOver && waitedMs < READING_WAIT_MS) {
            if (!admission.cache.isBeingRead(choice.candidate, this.ports.clock.now())) {
                break;
            }
            await this.ports.clock.sleep(READING_STEP_MS);
            waitedMs = Math.round(this.ports.clock.now() - since);
            choice = this.choose(admission);
        }
        if (waitedMs > 0) {
            this.log("call-waits", { reason: "part-being-read", service: admission.service, waitedMs });
        }
        return choice;
    }

    private refuseWaiting(admission: Admission, reason: placement.UnplacedReason): void {
        if (this.ran === 0) {
            this.refund(admission);
            this.refuse("no-server-available", reason, RETURN_AFTER_MS[reason]);
            return;
        }
        this.refuse("call-outcome-unknown", `no server for another attempt: ${reason}`);
    }

    private choose(admission: Admission): placement.PlacementDecision {
        const now = this.ports.clock.now();
        const { head, service } = admission;
        const candidates = this.ports.view.candidates(service, head.model, now);
        if (candidates.length > 0 && candidates.every(candidate => this.tried.has(candidate.server.id))) {
            this.tried.clear();
        }
        const { cache } = admission;
        const demand: placement.PlacementRequest = {
            affinityKey: cache.affinityKey,
            prefillingServers: cache.readers(now),
            sharedTokens: cache.sharedTokens,
            unsharedTokens: Math.max(0, head.promptTokens - cache.sharedTokens),
            expectedOutputTokens: head.expectedOutputTokens,
            triedServers: this.tried,
            dataCentre: this.ports.settings.dataCentre,
            isHttpService: head.model === undefined || !this.ports.view.servesModels(service),
        };
        const pace = this.ports.paces.get(service);
        return selection.chooseServer(
            candidates,
            demand,
            pace,
            this.ports.settings.selection,
            this.ports.clock.random(),
        );
    }

    private async attempt(admission: Admission, choice: ServerChoice): Promise<exchanges.ExchangeEnd | undefined> {
        const now = this.ports.clock.now();
        const { head, service } = admission;
        const { candidate } = choice;
        this.attempts++;
        this.tried.add(candidate.server.id);
        const budget = this.ports.budgets.of(service, now);
        if (this.attempts === 1) {
            budget.recordRequest(now);
        }
        const cached = admission.cache.useAt(candidate, now);
        const unread = Math.max(0, head.promptTokens - cached.cachedTokens);
        this.log("call-placed", {
            backendServer: candidate.server.id,
            attempt: this.attempts,
            costMs: Math.round(choice.costMs),
            isHome: choice.isHome,
            calls: candidate.calls,
            unreadTokens: Math.round(candidate.pendingPromptTokens),
            cachedTokens: cached.cachedTokens,
            part: admission.cache.part,
            fetchFrom: cached.plan?.fetchFrom,
            saves: cached.plan?.saveTo !== undefined,
            weights: candidate.weightsVersion,
            configuration: this.ports.view.table?.configuration.version,
        });
        using use = this.ports.use.place(candidate.server.id, unread);
        using reading = admission.cache.beginReading(candidate, now);
        const exchange = new exchanges.Exchange(this.ports, {
            admission: { ...admission, priority: priorityOf(admission) },
            choice,
            request: this.request,
            answer: this.answer,
            promptRead: () => {
                const readAt = this.ports.clock.now();
                use.promptPrefilled();
                reading.finished(readAt);
                admission.cache.noteRead(candidate.server, cached, readAt);
            },
            tokensAhead: candidate.pendingPromptTokens + unread,
            cacheScope: cached.scope,
            cachePlan: cached.plan,
            hasAttemptLeft: this.ran + 1 < admission.route.maximumAttempts,
        });
        this.interrupt = () => exchange.abort();
        this.isAttempting = true;
        const end = await exchange.run();
        this.isAttempting = false;
        this.interrupt = undefined;
        return end;
    }

    /** Decides what follows an attempt that brought no answer. True when the call tries again. */
    private continueAfter(admission: Admission, choice: ServerChoice, end: exchanges.ExchangeEnd): boolean {
        if (end.kind === "answered" || this.isOver) {
            return false;
        }
        const now = this.ports.clock.now();
        const wasTurnedAway = end.kind === "not-sent" || end.kind === "not-executed";
        this.ran += wasTurnedAway ? 0 : 1;
        this.turnedAway += wasTurnedAway ? 1 : 0;
        this.judge(choice.candidate.server, end, now);
        const budget = this.ports.budgets.of(admission.service, now);
        const decision = retries.decide(end.kind, {
            kind: admission.route.kind,
            isResumable: admission.route.resumable,
            maximumAttempts: admission.route.maximumAttempts,
            ran: this.ran,
            turnedAway: this.turnedAway,
            remainingMs: admission.expiresAt - now,
            hasBudget: budget.canRetry(now),
        });
        const backendServer = choice.candidate.server.id;
        this.log("attempt-ended", {
            backendServer,
            end: end.kind,
            reason: end.reason,
            decision,
            ran: this.ran,
            mismatch: end.mismatch,
        });
        if (decision === "retry") {
            // An attempt that reached no server is no arrival at the service.
            if (end.kind !== "not-sent") {
                budget.tryRetry(now);
            }
            return true;
        }
        this.fail(admission, decision, end);
        return false;
    }

    private judge(server: fleet.BackendServer, end: exchanges.ExchangeEnd, now: number): void {
        if (end.kind === "not-executed") {
            if (end.mismatch !== undefined) {
                this.ports.view.sawMismatch(server.id, now + MISMATCH_MS[end.mismatch]);
            }
            return;
        }
        if (end.kind === "server-failure") {
            this.ports.trust.recordResponse(server.id, true, now);
            return;
        }
        const pauseMs = Math.round(this.ports.trust.recordUnreachable(server.id, now));
        this.log("server-suspected", { backendServer: server.id, pauseMs, reason: end.reason });
    }

    private fail(admission: Admission, decision: retries.Decision, end: exchanges.ExchangeEnd): void {
        if (decision === "pass-answer" && end.response !== undefined) {
            this.answer.pass(end.response);
            return;
        }
        if (decision === "fail-not-run" && !this.answer.hasStarted) {
            this.refund(admission);
            this.refuse("call-turned-away", end.reason, RETURN_AFTER_TURNED_AWAY_MS);
            return;
        }
        this.refuse("call-outcome-unknown", end.reason);
    }

    /** The time of the call is over. */
    private expire(): void {
        const admission = this.admission;
        if (this.isOver || admission === undefined || this.answer.isComplete) {
            return;
        }
        if (this.ran === 0 && !this.isAttempting) {
            this.refund(admission);
            this.refuse(
                "no-server-available",
                "no server until the end of the call's time",
                RETURN_AFTER_TURNED_AWAY_MS,
            );
        }
        else {
            this.refuse("call-timed-out", `after ${Math.round(this.elapsedMs)} ms`);
        }
        this.isOver = true;
        this.interrupt?.();
    }

    private callerClosed(): void {
        if (this.isOver || this.answer.isComplete) {
            return;
        }
        this.log("call-cancelled", { elapsedMs: Math.round(this.elapsedMs), attempts: this.attempts });
        // A call that may not be repeated runs on: breaking it off would leave its outcome open.
        const runsOn = this.admission?.route.kind === "at-most-once" && this.attempts > 0;
        this.isOver = true;
        if (!runsOn) {
            this.interrupt?.();
        }
    }

    private refund(admission: Admission): void {
        if (admission.customer !== undefined) {
            this.ports.quotas.refund(admission.customer, admission.chargedTokens, this.ports.clock.now());
        }
    }

    /** Answers with a failure of the system, or breaks an answer off that has begun. */
    private refuse(kind: failure.FailureKind, detail: string, retryAfterMs?: number): undefined {
        if (this.isOver || this.answer.isComplete) {
            return undefined;
        }
        if (this.answer.hasStarted) {
            this.log("call-broken-off", { reason: detail, elapsedMs: Math.round(this.elapsedMs) });
            this.answer.breakOff();
            return undefined;
        }
        const definition: failure.FailureDefinition = catalogue.failures[kind];
        this.log("call-refused", {
            failure: kind,
            detail,
            status: definition.status,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            elapsedMs: Math.round(this.elapsedMs),
            attempts: this.attempts,
        });
        this.ports.meter.refused(this.admission?.customer?.name ?? "", kind);
        this.answer.fail(definition.status, definition.message(detail), retryAfterMs);
        return undefined;
    }

    private finish(): void {
        clearTimeout(this.expiry);
        this.isOver = true;
        if (this.answer.status === undefined) {
            return;
        }
        const { route, customer } = this.admission ?? {};
        const elapsedMs = this.elapsedMs;
        const firstEventMs = this.answer.startedAt === undefined ? undefined : this.answer.startedAt - this.arrivedAt;
        this.log("call-answered", {
            status: this.answer.status,
            elapsedMs: Math.round(elapsedMs),
            firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
            route: route?.name,
            customer: customer?.name,
            attempts: this.attempts,
        });
        this.ports.meter.finished(customer?.name ?? "", route?.name ?? "", this.answer.status, elapsedMs, firstEventMs);
    }

    private log(name: event.EventName, fields: event.Fields): void {
        this.ports.journal.emit(name, { call: this.answer.callId, ...fields });
    }
}

function priorityOf(admission: Admission): number {
    return admission.customer?.priority ?? admission.route.priority;
}
