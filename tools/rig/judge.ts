/** Judges a run by what callers, workers and the operator have seen. Times are in milliseconds of the monotonic clock. */
import type * as workers from "../../stand-ins/platform/worker.js";
import * as bounds from "./bounds.js";
import type * as callers from "./callers.js";
import * as configurations from "./configurations.js";
import type * as deployments from "./deployment.js";
import type * as disturbances from "./disturbances.js";
import type * as heavyWork from "./heavy-work.js";
import * as processes from "./judge-processes.js";
import type * as memory from "./memory.js";
import type * as rigs from "./rig.js";

const { configApplyMs, skewMaxMs, rollbackSlackMs, drainMs, graceS, lossSlackMs } = bounds.BOUNDS;
/** Statuses with which an entry states that the call did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const UNAUTHORIZED = 401;
const FORBIDDEN = 403;
const NOT_FOUND = 404;
/** Calls on added routes from which on their service is compared, and the share of that of the first routes. */
const MINIMUM_ADDED_CALLS = 20;
const MINIMUM_ADDED_SHARE = 0.25;
/** Calls that last longer than their timeout from which on they are judged, and the tolerated share without a response. */
const MINIMUM_LATE_CALLS = 8;
const TOLERATED_LATE_SHARE = 0.25;
/** Time in milliseconds after a termination signal at which an entry should be out of rotation. */
const OUT_OF_ROTATION_MS = 4000;
const TOLERATED_IN_ROTATION_SHARE = 0.25;
/** Time in milliseconds after the grace for which a stop counts as planned work. */
const AFTER_GRACE_MS = 1000;
/** Time in milliseconds after the signal up to which a call may be cut off by the end of the grace. */
const LONG_CALL_SENT_MS = 3000;

export type Rule = "CONFIG" | "DRAIN" | "FAULT" | "LOST" | "TWICE" | "REFUSED" | "MIXED" | "ROUTE";

export interface Violation {
    readonly rule: Rule;
    readonly at: number;
    readonly machine: string;
    readonly text: string;
}

export interface Evidence {
    readonly calls: readonly callers.Call[];
    readonly log: workers.WorkerLog;
    readonly versions: readonly configurations.ConfigurationVersion[];
    readonly disturbances: disturbances.Disturbances;
    readonly departures: readonly rigs.Departure[];
    readonly terminations: readonly rigs.Termination[];
    readonly ends: readonly deployments.ProcessEnd[];
    readonly readiness: readonly deployments.Readiness[];
    readonly machines: readonly deployments.Machine[];
    readonly excesses: readonly memory.Excess[];
    readonly heavyWorks: readonly heavyWork.HeavyWork[];
    /** Time from which callers sent and until which all was observed. */
    readonly startedAt: number;
    readonly endedAt: number;
}

type Judgement = (evidence: Evidence, runsByCall: ReadonlyMap<string, readonly workers.Run[]>) => readonly Violation[];

const JUDGEMENTS: readonly Judgement[] = [
    judgeConfigurationInForce,
    judgeRegress,
    judgeAddedRoutes,
    judgeTimeouts,
    judgeDrainedWorkers,
    judgeTellingWorkers,
    judgeRotation,
    processes.judgeEnds,
    processes.judgeLimits,
    processes.judgeStarts,
    judgePlannedStops,
    judgePromises,
    judgeTroubledAnswers,
];

/** All violations, in order of time. */
export function judge(evidence: Evidence): readonly Violation[] {
    const runsByCall = new Map<string, workers.Run[]>();
    for (const run of evidence.log.runs) {
        runsByCall.set(run.requestId, [...runsByCall.get(run.requestId) ?? [], run]);
    }
    return JUDGEMENTS.flatMap(judgement => judgement(evidence, runsByCall))
        .sort((left, right) => left.at - right.at);
}

function endOf(call: callers.Call, evidence: Evidence): number {
    return call.endedAt ?? evidence.endedAt;
}

function subjectOf(call: callers.Call): configurations.Subject {
    return { path: call.route, key: call.key };
}

/** How a call was handled, by each run or, without one, by its status. */
function handlingsOf(call: callers.Call, runs: readonly workers.Run[]): readonly configurations.Handling[] {
    if (runs.length > 0) {
        return runs.map(({ service }) => ({ service }));
    }
    if (call.status === UNAUTHORIZED || call.status === FORBIDDEN) {
        return ["no-key"];
    }
    return [call.status === NOT_FOUND ? "no-route" : undefined];
}

function describe(handling: configurations.Handling): string {
    return typeof handling === "object" ? `run by ${handling.service}` : handling === "no-key" ? "401" : "404";
}

/** A call is handled as only a version allows that is older than the one that has to be in force by then. */
function judgeConfigurationInForce(evidence: Evidence, runsByCall: ReadonlyMap<string, readonly workers.Run[]>) {
    const { versions, disturbances: ledger } = evidence;
    const found: Violation[] = [];
    for (const call of evidence.calls) {
        const end = endOf(call, evidence);
        if (!ledger.isUndisturbed(call.entry, call.sentAt, end)) {
            continue;
        }
        const isStable = ledger.isCoreStable(call.sentAt, end);
        if (!isStable && ledger.isCoreAway(call.sentAt - skewMaxMs, end)) {
            continue;
        }
        const boundMs = configApplyMs + (isStable ? 0 : skewMaxMs);
        const due = versions.findLastIndex(({ acknowledgedAt }) => {
            return acknowledgedAt !== undefined && acknowledgedAt + boundMs < call.sentAt;
        });
        if (due < 0) {
            continue;
        }
        const subject = subjectOf(call);
        const possible = versions.slice(due).filter(({ sentAt }) => sentAt <= end);
        for (const handling of handlingsOf(call, runsByCall.get(call.id) ?? [])) {
            if (possible.some(version => configurations.allows(version, subject, handling))) {
                continue;
            }
            const { version, acknowledgedAt } = versions[due]!;
            const older = versions.slice(0, due).findLast(candidate =>
                configurations.allows(candidate, subject, handling)
            );
            const ageMs = Math.round(call.sentAt - acknowledgedAt!);
            found.push({
                rule: "CONFIG",
                at: call.sentAt,
                machine: call.entry,
                text: `${call.route} with ${call.key} ${describe(handling)} ${ageMs} ms after the ack of ${version},`
                    + ` as ${older === undefined ? "no version" : `version ${older.version}`} allows (call ${call.id})`,
            });
        }
    }
    return found;
}

/** In one life of a process, a call is handled by an older version after a worker saw the effect of a newer one. */
function judgeRegress(evidence: Evidence, runsByCall: ReadonlyMap<string, readonly workers.Run[]>) {
    const { versions, disturbances: ledger } = evidence;
    const lives = new Map<string, callers.Call[]>();
    for (const call of evidence.calls) {
        const name = `${call.entry} ${call.life}`;
        lives.set(name, [...lives.get(name) ?? [], call]);
    }
    const found: Violation[] = [];
    for (const calls of lives.values()) {
        const effects = calls.flatMap(call =>
            (runsByCall.get(call.id) ?? []).map(run => {
                const first = versions.findIndex(version => {
                    return configurations.allows(version, subjectOf(call), { service: run.service });
                });
                return { at: run.arrivedAt, first };
            })
        ).filter(({ first }) => first > 0).sort((left, right) => left.at - right.at);
        for (const call of calls) {
            const isSlowed = !ledger.isUndisturbed(call.entry, call.sentAt, endOf(call, evidence));
            const slackMs = rollbackSlackMs * (isSlowed ? bounds.SLOWED_ROLLBACK_FACTOR : 1);
            const seen = Math.max(
                0,
                ...effects.filter(({ at }) => at + slackMs < call.sentAt).map(({ first }) => first),
            );
            for (const handling of handlingsOf(call, runsByCall.get(call.id) ?? [])) {
                const latest = versions.findLastIndex(version =>
                    configurations.allows(version, subjectOf(call), handling)
                );
                if (handling !== undefined && latest >= 0 && latest < seen) {
                    found.push({
                        rule: "CONFIG",
                        at: call.sentAt,
                        machine: call.entry,
                        text: `regress: ${call.route} with ${call.key} ${describe(handling)}, as version`
                            + ` ${versions[latest]!.version} allows, after an effect of ${versions[seen]!.version}`
                            + ` (call ${call.id})`,
                    });
                }
            }
        }
    }
    return found;
}

/** Added routes are served less than a quarter as often as the first ones. */
function judgeAddedRoutes(evidence: Evidence): readonly Violation[] {
    const { versions, disturbances: ledger } = evidence;
    const first = versions[0]!.routes;
    const settled = evidence.calls.filter(call => {
        if (
            !ledger.isInTouch(call.entry, call.sentAt, endOf(call, evidence)) ||
            call.key !== configurations.PERMANENT_KEY
        ) {
            return false;
        }
        const possible = versions.filter(({ sentAt, acknowledgedAt }, index) => {
            const next = versions[index + 1]?.acknowledgedAt;
            const isOver = next !== undefined && next + configApplyMs < call.sentAt;
            return sentAt <= endOf(call, evidence) && !isOver && (acknowledgedAt ?? Number.POSITIVE_INFINITY) > 0;
        });
        return possible.length > 0 && possible.every(({ routes }) => routes.has(call.route));
    });
    const added = settled.filter(call => !first.has(call.route));
    const others = settled.filter(call => call.isDirect && first.has(call.route));
    const servedShare = (calls: readonly callers.Call[]) => {
        return calls.filter(call => call.status === 200 && call.isComplete).length / Math.max(1, calls.length);
    };
    if (added.length < MINIMUM_ADDED_CALLS || servedShare(added) >= MINIMUM_ADDED_SHARE * servedShare(others)) {
        return [];
    }
    const text = `${added.length} calls on added routes are served to ${servedShare(added).toFixed(2)},`
        + ` ${others.length} on first routes to ${servedShare(others).toFixed(2)}`;
    return [{ rule: "CONFIG", at: evidence.endedAt, machine: "all", text }];
}

/** Calls that last longer than the timeout of their route have no final response half a second later. */
function judgeTimeouts(evidence: Evidence): readonly Violation[] {
    const long = evidence.calls.filter(call => {
        const end = endOf(call, evidence);
        return end > call.sentAt + call.timeoutMs && evidence.disturbances.isInTouch(call.entry, call.sentAt, end);
    });
    const late = long.filter(call => endOf(call, evidence) > call.sentAt + call.timeoutMs + bounds.TIMEOUT_SLACK_MS);
    if (late.length < MINIMUM_LATE_CALLS || late.length <= long.length * TOLERATED_LATE_SHARE) {
        return [];
    }
    const text = `${late.length} of ${long.length} calls that outlast their timeout have no response in time`;
    return [{ rule: "CONFIG", at: late[0]!.sentAt, machine: "all", text }];
}

interface Arrival {
    readonly requestId: string;
    readonly worker: string;
    readonly arrivedAt: number;
}

function arrivalsOf({ log }: Evidence): readonly Arrival[] {
    return [...log.runs, ...log.rejections];
}

/** A call reaches a worker later than `drainMs` after the store acknowledged that it leaves. */
function judgeDrainedWorkers(evidence: Evidence): readonly Violation[] {
    const { disturbances: ledger } = evidence;
    const calls = new Map(evidence.calls.map(call => [call.id, call]));
    const arrivals = arrivalsOf(evidence);
    return evidence.departures.flatMap(({ worker, manner, acknowledgedAt, voidAt }) => {
        if (!ledger.isCoreStable(acknowledgedAt, acknowledgedAt)) {
            return [];
        }
        const late = arrivals.filter(arrival => {
            const call = calls.get(arrival.requestId);
            return arrival.worker === worker && call !== undefined && arrival.arrivedAt > acknowledgedAt + drainMs
                && arrival.arrivedAt < voidAt
                && ledger.isInTouch(call.entry, Math.min(call.sentAt, arrival.arrivedAt), arrival.arrivedAt);
        });
        return late.map(({ requestId, arrivedAt }) => {
            const call = calls.get(requestId)!;
            const text =
                `call ${requestId} on ${call.route} reached ${worker} ${Math.round(arrivedAt - acknowledgedAt)} ms`
                + ` after the ack that it leaves (${manner})`;
            return { rule: "DRAIN" as const, at: arrivedAt, machine: call.entry, text };
        });
    });
}

/** A call reaches a worker from an entry that passed on, `drainMs` before it was sent, that the worker leaves. */
function judgeTellingWorkers(evidence: Evidence, runsByCall: ReadonlyMap<string, readonly workers.Run[]>) {
    const calls = new Map(evidence.calls.map(call => [call.id, call]));
    const told = new Map<string, number>();
    for (const call of evidence.calls) {
        const run = (runsByCall.get(call.id) ?? []).find(({ isLeavingTold }) => isLeavingTold);
        if (run !== undefined && call.status === 200 && call.isComplete) {
            const name = `${call.entry} ${call.life} ${run.worker}`;
            told.set(name, Math.min(told.get(name) ?? Number.POSITIVE_INFINITY, endOf(call, evidence)));
        }
    }
    const departed = new Set(evidence.departures.map(({ worker }) => worker));
    return arrivalsOf(evidence).flatMap(({ requestId, worker, arrivedAt }): readonly Violation[] => {
        const call = calls.get(requestId);
        const toldAt = call === undefined ? undefined : told.get(`${call.entry} ${call.life} ${worker}`);
        if (call === undefined || toldAt === undefined || call.sentAt <= toldAt + drainMs || !departed.has(worker)) {
            return [];
        }
        const isFrozenSince = evidence.disturbances.all.some(({ name, machines, from, until }) => {
            return name === "processes frozen" && machines?.has(call.entry) && until >= toldAt && from <= arrivedAt;
        });
        // A worker that started again under its id tells nothing of before.
        const hasStartedAgain = evidence.log.runs.some(run => {
            return run.worker === worker && run.arrivedAt > toldAt && run.arrivedAt <= arrivedAt && !run.isLeavingTold;
        });
        const text =
            `call ${requestId} on ${call.route}, sent ${Math.round(call.sentAt - toldAt)} ms after the entry passed`
            + ` on that ${worker} leaves, reached it`;
        return isFrozenSince || hasStartedAgain ? [] : [{ rule: "DRAIN", at: arrivedAt, machine: call.entry, text }];
    });
}

/** Entries that were told to stop still count as ready 4 s later. */
function judgeRotation(evidence: Evidence): readonly Violation[] {
    const bySeries = new Map<number, rigs.Termination[]>();
    evidence.terminations.forEach(entry => bySeries.set(entry.series, [...bySeries.get(entry.series) ?? [], entry]));
    const stateAt = (machine: string, at: number) => {
        return evidence.readiness.findLast(entry => entry.machine === machine && entry.at <= at)?.isInRotation ?? false;
    };
    return [...bySeries.values()].flatMap((series): readonly Violation[] => {
        const ready = series.filter(({ machine, at }) => stateAt(machine, at));
        const still = ready.filter(({ machine, at, life }) => {
            const later = at + OUT_OF_ROTATION_MS;
            const hasEnded = evidence.ends.some(end => end.machine === machine && end.life === life && end.at <= later);
            return later < evidence.endedAt && !hasEnded && stateAt(machine, later);
        });
        const isBroken = still.length >= 2 && still.length > ready.length * TOLERATED_IN_ROTATION_SHARE;
        const text = `${still.length} of ${ready.length} entries count as ready 4 s after SIGTERM:`
            + ` ${still.map(({ machine }) => machine).join(" ")}`;
        return isBroken ? [{ rule: "DRAIN", at: series[0]!.at, machine: "all", text }] : [];
    });
}

/** Calls at an entry that is told to stop end without a complete response. */
function judgePlannedStops(evidence: Evidence, runsByCall: ReadonlyMap<string, readonly workers.Run[]>) {
    const { disturbances: ledger } = evidence;
    return evidence.terminations.flatMap(({ machine, at, life }): readonly Violation[] => {
        const stopEnd = at + graceS * 1000 + AFTER_GRACE_MS;
        const calls = evidence.calls.filter(call => {
            return call.entry === machine && call.life === life && call.endedAt !== undefined && call.endedAt >= at
                && call.sentAt <= stopEnd && !call.isComplete && !call.isAbandoned
                && ledger.isCalm(machine, call.sentAt, call.endedAt);
        });
        return calls.flatMap((call): readonly Violation[] => {
            const runs = runsByCall.get(call.id) ?? [];
            const endedAt = call.endedAt!;
            const isPassedOn = runs.length > 0;
            const isSlowlyCut = endedAt - call.sentAt > lossSlackMs;
            const isTimedOut = endedAt - call.sentAt >= call.timeoutMs;
            const isAtEndOfGrace = call.sentAt <= at + LONG_CALL_SENT_MS && endedAt >= at + graceS * 1000 * 5 / 6;
            const isWorkersFault = runs.some(({ worker }) =>
                evidence.departures.some(departure => {
                    return departure.worker === worker && departure.acknowledgedAt + drainMs < endedAt;
                })
            );
            const isUnread = call.error === "ECONNREFUSED";
            if (isUnread || !isPassedOn && !isSlowlyCut || isTimedOut || isAtEndOfGrace || isWorkersFault) {
                return [];
            }
            const text = `call ${call.id} on ${call.route}, sent ${Math.round(call.sentAt - at)} ms after SIGTERM`
                + `${isPassedOn ? " and passed on" : ""}, ended without a response after`
                + ` ${Math.round(endedAt - call.sentAt)} ms (${call.error ?? "cut"})`;
            return [{ rule: "LOST", at: endedAt, machine, text }];
        });
    });
}

/** What holds at all times: runs of calls that must not run twice or were refused, and responses that are not the worker's. */
function judgePromises(
    evidence: Evidence,
    runsByCall: ReadonlyMap<string, readonly workers.Run[]>,
): readonly Violation[] {
    return evidence.calls.flatMap((call): readonly Violation[] => {
        const runs = runsByCall.get(call.id) ?? [];
        const isRefused = call.status !== undefined && NOT_RUN_STATUSES.has(call.status) && !call.mayRunAgain;
        const checks: readonly (readonly [Rule, string, boolean])[] = [
            ["TWICE", "ran more than once", !call.mayRunAgain && runs.length > 1],
            ["REFUSED", `got ${call.status} and ran`, isRefused && runs.length > 0],
            ["MIXED", "has another response than the worker's", !call.isBodyRight],
        ];
        return checks.filter(([, , isBroken]) => isBroken).map(([rule, text]) => {
            return { rule, at: call.sentAt, machine: call.entry, text: `call ${call.id} on ${call.route} ${text}` };
        });
    });
}

/** Parts of answers that callers got as complete ones, from workers in trouble. */
function judgeTroubledAnswers({ heavyWorks }: Evidence): readonly Violation[] {
    return heavyWorks.filter(work => work.wholeAnswers > 0).map(({ name, machines, from, wholeAnswers }) => {
        return {
            rule: "MIXED",
            at: from,
            machine: [...machines].join(" "),
            text: `${name}: ${wholeAnswers} passed on as whole`,
        };
    });
}
