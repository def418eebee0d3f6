/** Sample requests of each workload. Each sample asserts the responses that the caller must get. */
import * as assert from "node:assert/strict";
import type * as deployments from "../support/deployment.js";
import * as processes from "../support/processes.js";
import * as callers from "./caller.js";
import * as plans from "./plan.js";

/** A configuration change must be in force at all entries within this time. */
const REVOCATION_TIMEOUT_MS = 4000;
const SURGE_REQUESTS = 30;
const SURGE_WINDOW_MARGIN_MS = 200;

/** Row of the printed table. */
export interface Row {
    readonly sample: string;
    readonly caller: string;
    readonly result: string;
}

export type Sample = (deployment: deployments.Deployment) => Promise<readonly Row[]>;

/** Prompt of about 5,000 tokens that several requests share as a prefix. */
function sharedPrompt(name: string): string {
    return Array.from({ length: 400 }, (_, index) => `${name} entry ${index}: shared text of the long prefix.`).join(
        "\n",
    );
}

const menuCheck: Sample = async deployment => {
    const caller = callers.callerOf(deployment, plans.LUNCH_CLUB, 0);
    const chat = { model: plans.MENU_MODEL, system: sharedPrompt("diet rules"), maxTokens: 12 };
    const first = await callers.chat(caller, { ...chat, user: "Check Monday's menu." });
    const second = await callers.chat(caller, { ...chat, user: "Check Tuesday's menu." });
    assert.equal(first.status, 200);
    assert.equal(second.status, 200);
    const usage = JSON.parse(second.body).usage;
    assert.ok(usage.prompt_tokens_details.cached_tokens >= 4096, "the second request reuses the cached prefix");
    return [
        { sample: "menu check", caller: plans.LUNCH_CLUB, result: `answered in ${first.durationMs} ms` },
        {
            sample: "menu check, same rules",
            caller: plans.LUNCH_CLUB,
            result: `${usage.prompt_tokens_details.cached_tokens} of ${usage.prompt_tokens} prompt tokens cached`,
        },
    ];
};

const layoutReview: Sample = async deployment => {
    const rows: Row[] = [];
    const texts = new Set<string>();
    for (const entry of [0, 1]) {
        const answer = await callers.streamChat(callers.callerOf(deployment, plans.GALLERY, entry), {
            model: plans.LAYOUT_MODEL,
            system: sharedPrompt("wall catalogue"),
            user: "Review the north wall.",
            maxTokens: 40,
        });
        assert.equal(answer.status, 200);
        assert.ok(answer.complete, "the stream ends with [DONE]");
        assert.equal(answer.chunks, 40);
        texts.add(answer.text);
        rows.push({
            sample: `layout review, streamed by entry ${entry + 1}`,
            caller: plans.GALLERY,
            result: `${answer.chunks} tokens, the first after ${answer.firstChunkMs} ms`,
        });
    }
    assert.equal(texts.size, 1, "both entries return the same text");
    return rows;
};

const booking: Sample = async deployment => {
    const headers = { "idempotency-key": "meal-17" };
    const body = { guest: "Table 4", day: "Friday" };
    const first = await callers.send(
        callers.callerOf(deployment, plans.LUNCH_CLUB, 0),
        "POST",
        "/bookings",
        body,
        headers,
    );
    const second = await callers.send(
        callers.callerOf(deployment, plans.LUNCH_CLUB, 1),
        "POST",
        "/bookings",
        body,
        headers,
    );
    const otherBody = { guest: "Table 5", day: "Friday" };
    const other = await callers.send(
        callers.callerOf(deployment, plans.LUNCH_CLUB, 1),
        "POST",
        "/bookings",
        otherBody,
        headers,
    );
    assert.equal(first.status, 201);
    assert.equal(second.status, 201);
    assert.equal(second.body, first.body, "the repeated request gets the stored response");
    assert.equal(other.status, 422);
    const runs = await totalRuns(deployment);
    assert.equal(runs, 1, "the booking ran once");
    return [
        { sample: "meal booking", caller: plans.LUNCH_CLUB, result: `${first.status} ${first.body}` },
        {
            sample: "same key, other entry",
            caller: plans.LUNCH_CLUB,
            result: `${second.status}, replayed; ran ${runs} time`,
        },
        { sample: "same key, other body", caller: plans.LUNCH_CLUB, result: `${other.status} ${errorCode(other)}` },
    ];
};

const revokedKey: Sample = async deployment => {
    const caller = callers.callerOf(deployment, plans.REVOKED, 0);
    const chat = { model: plans.MENU_MODEL, system: "short", user: "hello", maxTokens: 2 };
    assert.equal((await callers.chat(caller, chat)).status, 200);
    let reportFirstChunk: () => void = () => undefined;
    const firstChunk = new Promise<void>(resolve => {
        reportFirstChunk = resolve;
    });
    const pendingStream = callers.streamChat(caller, { ...chat, maxTokens: 2000 }, reportFirstChunk);
    await firstChunk;
    await deployment.applyManifest(deployment.manifest([plans.REVOKED]));
    const startedAt = performance.now();
    await processes.waitUntil("revocation at all entries", REVOCATION_TIMEOUT_MS, async () => {
        const answers = await Promise.all(
            [0, 1].map(entry => callers.chat(callers.callerOf(deployment, plans.REVOKED, entry), chat)),
        );
        return answers.every(answer => answer.status === 401);
    });
    const elapsedMs = Math.round(performance.now() - startedAt);
    const stream = await pendingStream;
    assert.equal(stream.complete, false, "a live stream of the revoked key must not look complete");
    return [
        { sample: "revoked key", caller: plans.REVOKED, result: `401 at both entries after ${elapsedMs} ms` },
        {
            sample: "live stream of the key",
            caller: plans.REVOKED,
            result: `ended after ${stream.chunks} of 2000 tokens`,
        },
    ];
};

const surge: Sample = async deployment => {
    const surgingCustomer = plans.plan.customers.find(customer => customer.name === plans.SURGING);
    assert.ok(surgingCustomer !== undefined);
    const startedAt = performance.now();
    const chat = { model: plans.MENU_MODEL, system: "short", user: "hello", maxTokens: 2 };
    const answers = await Promise.all(Array.from({ length: SURGE_REQUESTS }, (_, index) => {
        return callers.chat(callers.callerOf(deployment, plans.SURGING, index), chat);
    }));
    const windowMs = performance.now() - startedAt + SURGE_WINDOW_MARGIN_MS;
    const admitted = answers.filter(answer => answer.status === 200).length;
    const refused = answers.filter(answer => answer.status === 429);
    assert.ok(
        admitted <= surgingCustomer.requestsPerSecond * windowMs / 1000 + surgingCustomer.burst,
        `${admitted} admitted`,
    );
    assert.ok(admitted >= surgingCustomer.burst - 1, `only ${admitted} admitted`);
    const others = answers.filter(answer => answer.status !== 200 && answer.status !== 429);
    assert.deepEqual(
        others.map(answer => `${answer.status} ${errorCode(answer)}`),
        [],
        "each request is either answered or refused with 429",
    );
    assert.ok(refused.every(answer => JSON.parse(answer.body).error.execution === "not-run"));
    const other = await callers.chat(callers.callerOf(deployment, plans.LUNCH_CLUB, 0), chat);
    assert.equal(other.status, 200);
    return [
        {
            sample: `surge of ${SURGE_REQUESTS} requests`,
            caller: plans.SURGING,
            result: `${admitted} admitted, ${refused.length} refused with 429 "not-run"`,
        },
        { sample: "request beside the surge", caller: plans.LUNCH_CLUB, result: `answered in ${other.durationMs} ms` },
    ];
};

export const samples: readonly Sample[] = [menuCheck, layoutReview, booking, revokedKey, surge];

async function totalRuns(deployment: deployments.Deployment): Promise<number> {
    let total = 0;
    for (const backend of deployment.backends.filter(candidate => candidate.kind === "service")) {
        const counts = await (await fetch(`http://${backend.address}/runs`)).json() as {
            runs: Record<string, number>;
        };
        total += Object.values(counts.runs).reduce((sum, count) => sum + count, 0);
    }
    return total;
}

function errorCode(answer: callers.HttpResponse): string {
    return JSON.parse(answer.body).error.code;
}
