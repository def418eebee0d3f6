/** Encodes heartbeats as JSON arrays without keys, which keeps the frequent traffic between data centres small. */
import * as jsonParsing from "../http/json-parsing.js";
import * as stages from "../rollout/service-stage.js";
import type * as storeAccess from "../store-access/types.js";
import * as addresses from "./address.js";
import * as entryStates from "./entry-state.js";
import * as suspectCodec from "./suspect-codec.js";
import type * as types from "./types.js";

/**
 * Processes ignore heartbeats of another layout version. Elements that are appended keep the version: older processes
 * ignore them, and the decoder accepts heartbeats without them, so that a rolling restart needs no interruption.
 */
const LAYOUT_VERSION = 3;

const NO_LIMIT = -1;
const NO_SILENCE = -1;
/** Position of the heartbeats that are passed on. */
const PASSED_ON = 18;

type HeartbeatTuple = readonly [
    layoutVersion: number,
    name: string,
    role: types.Role,
    beatAddress: string,
    /** Empty if it equals the heartbeat address. */
    documentAddress: string,
    /** Empty for an entry. */
    serverAddress: string,
    incarnation: string,
    sequence: number,
    isLeaving: 0 | 1,
    changeRevisions: Readonly<Record<string, number>>,
    spentTokens: types.Heartbeat["spentTokens"],
    serverLoads: readonly (readonly [server: string, calls: number, pendingPromptTokens: number])[],
    prefills: readonly (readonly [partHash: number, server: string, isComplete: 0 | 1])[],
    desiredWeights: readonly (readonly [model: string, version: number, revision: number, era?: number])[],
    /** 0 for an entry. */
    report: ReportTuple | 0,
    /** Alternating part hashes and tokens. */
    savedParts?: readonly number[],
    /** Empty if unknown. */
    dataCentre?: string,
    /** The incarnation is empty while the store does not respond. */
    cacheStores?: readonly (readonly [address: string, incarnation: string])[],
    passedOn?: readonly HeartbeatTuple[],
    /** 0 without suspects. */
    suspects?: suspectCodec.SuspectTuple | 0,
    /** The rate is negative if the server has ceased to name one. */
    serverLimits?: readonly (readonly [server: string, rate: number, ageMs: number, requests: number])[],
    rollouts?: types.Heartbeat["rollouts"],
    /** Eras of `changeRevisions`. */
    changeEras?: Readonly<Record<string, number>>,
    /** Negative if no connection to the store was found to be silent lately. */
    connectionSilenceAgeMs?: number,
    /** Number of the finding. */
    connectionSilenceNumber?: number,
    loadStatements?: readonly LoadStatementTuple[],
    promptDemands?: readonly PromptDemandTuple[],
];

type LoadStatementTuple = readonly [
    server: string,
    /** 0 if unknown. */
    startedAt: number,
    running: number,
    waiting: number,
    slots: number,
    pacePercent: number,
    ageMs: number,
    isRejecting: 0 | 1,
];

type PromptDemandTuple = readonly [
    service: string,
    shortBusyServers: number,
    shortCalls: number,
    longBusyServers: number,
    longCalls: number,
];

type ReportTuple = readonly [
    address: string,
    isAlive: 0 | 1,
    /** 0 if unknown. */
    startedAt: number,
    weights: readonly (readonly [model: string, version: number])[],
    isUpdatingWeights: 0 | 1,
    isUpdatePending: 0 | 1,
    running: number,
    waiting: number,
];

export function encode({ heartbeat, passedOn }: types.HeartbeatMessage): Buffer {
    return Buffer.from(JSON.stringify(toTuple(heartbeat, passedOn.map(passed => toTuple(passed, [])))));
}

function toTuple(heartbeat: types.Heartbeat, passedOn: readonly HeartbeatTuple[]): HeartbeatTuple {
    const { member, report } = heartbeat;
    return [
        LAYOUT_VERSION,
        member.name,
        member.role,
        member.beatAddress,
        member.documentAddress === member.beatAddress ? "" : member.documentAddress,
        member.serverAddress ?? "",
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.isLeaving ? 1 : 0,
        mapValues(heartbeat.lastChanges, ({ revision }) => revision),
        heartbeat.spentTokens,
        Object.entries(heartbeat.serverLoads).map((
            [server, load],
        ) => [server, load.calls, Math.round(load.pendingPromptTokens)]),
        heartbeat.prefills.map(({ partHash, server, isComplete }) => [partHash, server, isComplete ? 1 : 0]),
        heartbeat.desiredWeights.map((
            { model, version, position },
        ) => [model, version, position.revision, position.era]),
        report === undefined ? 0 : encodeReport(report),
        heartbeat.savedParts.flatMap(({ partHash, tokens }) => [partHash, tokens]),
        member.dataCentre ?? "",
        heartbeat.cacheStores.map(({ address, incarnation }) => [address, incarnation ?? ""]),
        passedOn,
        suspectCodec.isEmpty(heartbeat.suspects) ? 0 : suspectCodec.toTuple(heartbeat.suspects),
        heartbeat.serverLimits.map(({ server, requestsPerSecond = NO_LIMIT, ageMs, requests }) => {
            return [server, requestsPerSecond, Math.round(ageMs), requests] as const;
        }),
        heartbeat.rollouts,
        mapValues(heartbeat.lastChanges, ({ era }) => era),
        heartbeat.connectionSilence === undefined ? NO_SILENCE : Math.round(heartbeat.connectionSilence.ageMs),
        heartbeat.connectionSilence?.number ?? 0,
        heartbeat.loadStatements.map(encodeLoadStatement),
        (heartbeat.promptDemands ?? []).map(({ service, short, long }) => {
            return [service, short.busyServers, short.calls, long.busyServers, long.calls] as const;
        }),
    ];
}

/** Returns `undefined` for a datagram that is not a heartbeat of this layout version. */
export function decode(datagram: Buffer): types.HeartbeatMessage | undefined {
    try {
        const value = jsonParsing.parse(datagram.toString("utf8"), { partsDepth: 0 }) as HeartbeatTuple;
        if (!Array.isArray(value) || value[0] !== LAYOUT_VERSION) {
            return undefined;
        }
        return { heartbeat: fromTuple(value), passedOn: (value[PASSED_ON] ?? []).map(fromTuple) };
    }
    catch {
        // The port accepts datagrams from any sender; those that are not valid heartbeats are ignored.
        return undefined;
    }
}

function fromTuple(tuple: HeartbeatTuple): types.Heartbeat {
    const [
        ,
        name,
        role,
        beatAddress,
        documentAddress,
        serverAddress,
        incarnation,
        sequence,
        isLeaving,
        changeRevisions,
        spentTokens,
        serverLoads,
        prefills,
        desiredWeights,
        report,
        savedParts = [],
        dataCentre = "",
        cacheStores = [],
        ,
        suspects = 0,
        serverLimits = [],
        rollouts = [],
        changeEras = {},
        silenceAgeMs = NO_SILENCE,
        silenceNumber = 0,
        loadStatements = [],
        promptDemands = [],
    ] = tuple;
    const isUsable = typeof name === "string" && (role === "entry" || role === "agent") &&
        addresses.isAddress(beatAddress)
        && (documentAddress === "" || addresses.isAddress(documentAddress)) && typeof incarnation === "string"
        && typeof sequence === "number" && typeof dataCentre === "string";
    if (!isUsable) {
        throw new TypeError("a heartbeat without a usable sender");
    }
    return {
        member: {
            name,
            role,
            dataCentre: dataCentre === "" ? undefined : dataCentre,
            beatAddress,
            documentAddress: documentAddress === "" ? beatAddress : documentAddress,
            serverAddress: serverAddress === "" ? undefined : serverAddress,
        },
        incarnation,
        sequence,
        isLeaving: isLeaving === 1,
        lastChanges: mapValues(changeRevisions, (revision, kind) => decodePosition(changeEras[kind], revision)),
        spentTokens,
        serverLoads: Object.fromEntries(
            serverLoads.map(([server, calls, pendingPromptTokens]) => [server, { calls, pendingPromptTokens }]),
        ),
        prefills: prefills.map(([partHash, server, isComplete]) => ({
            partHash,
            server,
            isComplete: isComplete === 1,
        })),
        desiredWeights: desiredWeights.map(([model, version, revision, era]) => {
            return { model, version, position: decodePosition(era, revision) };
        }),
        report: report === 0 ? undefined : decodeReport(report),
        savedParts: decodeSavedParts(savedParts),
        cacheStores: cacheStores.map(([address, store]) => ({
            address,
            incarnation: store === "" ? undefined : store,
        })),
        suspects: suspects === 0 ? entryStates.noEntryState.suspects : suspectCodec.fromTuple(suspects),
        serverLimits: serverLimits.map(decodeServerLimit),
        rollouts: rollouts.filter(isRollout),
        loadStatements: loadStatements.map(decodeLoadStatement),
        ...Number.isFinite(silenceAgeMs) && silenceAgeMs >= 0 && Number.isFinite(silenceNumber)
            ? { connectionSilence: { number: silenceNumber, ageMs: silenceAgeMs } }
            : {},
        ...promptDemands.length > 0 ? { promptDemands: promptDemands.map(decodePromptDemand) } : {},
    };
}

/** Processes of earlier versions do not tell the era. */
function decodePosition(era = 0, revision: number): storeAccess.Position {
    if (!Number.isFinite(era) || !Number.isFinite(revision)) {
        throw new TypeError("a position of unexpected types");
    }
    return { era, revision };
}

function mapValues<Value, Result>(
    values: Readonly<Record<string, Value>>,
    map: (value: Value, key: string) => Result,
): Readonly<Record<string, Result>> {
    return Object.fromEntries(Object.entries(values).map(([key, value]) => [key, map(value, key)]));
}

/** Rollouts are rare, so that they are sent with their field names. */
function isRollout(value: Partial<types.ServiceRollout>): value is types.ServiceRollout {
    return typeof value.service === "string" && typeof value.target === "string" && typeof value.elapsedMs === "number"
        && typeof value.stage === "string" && Object.hasOwn(stages.SHARES, value.stage) && Array.isArray(value.counts)
        && value.counts.every(count => {
            return typeof count.weightsVersion === "string" && typeof count.route === "string"
                && [count.finished, count.failed, count.slow].every(Number.isFinite);
        });
}

function decodeServerLimit(
    [server, rate, ageMs, requests]: readonly [string, number, number, number],
): types.ServerLimit {
    if (typeof server !== "string" || ![rate, ageMs, requests].every(Number.isFinite)) {
        throw new TypeError("a limit of unexpected types");
    }
    return { server, requestsPerSecond: rate < 0 ? undefined : rate, ageMs, requests };
}

function encodeLoadStatement({ server, startedAt, load, ageMs, isRejecting }: types.LoadStatement): LoadStatementTuple {
    const { running, waiting, slots, pace } = load;
    const pacePercent = Math.round(pace * 100);
    return [server, startedAt ?? 0, running, waiting, slots, pacePercent, Math.round(ageMs), isRejecting ? 1 : 0];
}

function decodeLoadStatement(tuple: LoadStatementTuple): types.LoadStatement {
    const [server, startedAt, running, waiting, slots, pacePercent, ageMs, isRejecting] = tuple;
    const figures = [startedAt, running, waiting, slots, pacePercent, ageMs];
    if (typeof server !== "string" || !figures.every(figure => Number.isFinite(figure) && figure >= 0)) {
        throw new TypeError("a statement of unexpected types");
    }
    return {
        server,
        startedAt: startedAt === 0 ? undefined : startedAt,
        load: { running, waiting, slots, pace: pacePercent / 100 },
        ageMs,
        isRejecting: isRejecting === 1,
    };
}

function decodePromptDemand(
    [service, shortBusyServers, shortCalls, longBusyServers, longCalls]: PromptDemandTuple,
): types.PromptDemand {
    const figures = [shortBusyServers, shortCalls, longBusyServers, longCalls];
    if (typeof service !== "string" || !figures.every(figure => Number.isFinite(figure) && figure >= 0)) {
        throw new TypeError("a demand of unexpected types");
    }
    return {
        service,
        short: { busyServers: shortBusyServers, calls: shortCalls },
        long: { busyServers: longBusyServers, calls: longCalls },
    };
}

function decodeSavedParts(values: readonly number[]): readonly types.SavedPart[] {
    const hashes = values.filter((_, index) => index % 2 === 0);
    return hashes.map((partHash, index) => ({ partHash, tokens: values[2 * index + 1] ?? 0 }));
}

function encodeReport(report: types.ServerReport): ReportTuple {
    return [
        report.address,
        report.isAlive ? 1 : 0,
        report.startedAt ?? 0,
        report.weights.map(({ model, version }) => [model, version]),
        report.isUpdatingWeights ? 1 : 0,
        report.isUpdatePending ? 1 : 0,
        report.running,
        report.waiting,
    ];
}

function decodeReport(tuple: ReportTuple): types.ServerReport {
    const [address, isAlive, startedAt, weights, isUpdatingWeights, isUpdatePending, running, waiting] = tuple;
    return {
        address,
        isAlive: isAlive === 1,
        startedAt: startedAt === 0 ? undefined : startedAt,
        weights: weights.map(([model, version]) => ({ model, version })),
        isUpdatingWeights: isUpdatingWeights === 1,
        isUpdatePending: isUpdatePending === 1,
        running,
        waiting,
    };
}
