/** Datagrams of beats: positional, since they cross data centres several times a second. */
import type * as types from "./types.js";

/** Raised when the layout changes, so that old and new processes ignore each other's beats. */
const LAYOUT = 3;

type Positions = readonly [
    layout: number,
    name: string,
    role: types.Role,
    beatAddress: string,
    /** Empty when it is the beat address. */
    documentAddress: string,
    serverAddress: string,
    incarnation: string,
    sequence: number,
    isLeaving: 0 | 1,
    changes: types.Beat["changes"],
    spending: types.Beat["spending"],
    use: readonly (readonly [server: string, calls: number, unreadTokens: number])[],
    readings: readonly (readonly [part: number, server: string, isRead: 0 | 1])[],
    weights: readonly (readonly [model: string, version: number, revision: number])[],
    report: ReportPositions | 0,
];

type ReportPositions = readonly [
    address: string,
    isAlive: 0 | 1,
    startedAt: number,
    weights: readonly (readonly [model: string, version: number])[],
    isMoving: 0 | 1,
    isWindingDown: 0 | 1,
    running: number,
    waiting: number,
];

export function encode(beat: types.Beat): Buffer {
    const { member, report } = beat;
    const positions: Positions = [
        LAYOUT,
        member.name,
        member.role,
        member.beatAddress,
        member.documentAddress === member.beatAddress ? "" : member.documentAddress,
        member.serverAddress ?? "",
        beat.incarnation,
        beat.sequence,
        beat.isLeaving ? 1 : 0,
        beat.changes,
        beat.spending,
        Object.entries(beat.use).map(([server, use]) => [server, use.calls, Math.round(use.unreadTokens)]),
        beat.readings.map(({ part, server, isRead }) => [part, server, isRead ? 1 : 0]),
        beat.weights.map(({ model, version, revision }) => [model, version, revision]),
        report === undefined ? 0 : encodeReport(report),
    ];
    return Buffer.from(JSON.stringify(positions));
}

/** Returns nothing for a datagram that is no beat of this layout. */
export function decode(datagram: Buffer): types.Beat | undefined {
    try {
        const value = JSON.parse(datagram.toString("utf8")) as Positions;
        return Array.isArray(value) && value[0] === LAYOUT ? fromPositions(value) : undefined;
    }
    catch {
        // Anyone can send a datagram; one that is no beat says nothing.
        return undefined;
    }
}

function fromPositions(positions: Positions): types.Beat {
    const [, name, role, beatAddress, documentAddress, serverAddress, incarnation, sequence, isLeaving] = positions;
    const [changes, spending, use, readings, weights, report] = [
        positions[9],
        positions[10],
        positions[11],
        positions[12],
        positions[13],
        positions[14],
    ];
    return {
        member: {
            name,
            role,
            beatAddress,
            documentAddress: documentAddress === "" ? beatAddress : documentAddress,
            serverAddress: serverAddress === "" ? undefined : serverAddress,
        },
        incarnation,
        sequence,
        isLeaving: isLeaving === 1,
        changes,
        spending,
        use: Object.fromEntries(use.map(([server, calls, unreadTokens]) => [server, { calls, unreadTokens }])),
        readings: readings.map(([part, server, isRead]) => ({ part, server, isRead: isRead === 1 })),
        weights: weights.map(([model, version, revision]) => ({ model, version, revision })),
        report: report === 0 ? undefined : decodeReport(report),
    };
}

function encodeReport(report: types.ServerReport): ReportPositions {
    return [
        report.address,
        report.isAlive ? 1 : 0,
        report.startedAt ?? 0,
        report.weights.map(({ model, version }) => [model, version]),
        report.isMoving ? 1 : 0,
        report.isWindingDown ? 1 : 0,
        report.running,
        report.waiting,
    ];
}

function decodeReport(positions: ReportPositions): types.ServerReport {
    const [address, isAlive, startedAt, weights, isMoving, isWindingDown, running, waiting] = positions;
    return {
        address,
        isAlive: isAlive === 1,
        startedAt: startedAt === 0 ? undefined : startedAt,
        weights: weights.map(([model, version]) => ({ model, version })),
        isMoving: isMoving === 1,
        isWindingDown: isWindingDown === 1,
        running,
        waiting,
    };
}
