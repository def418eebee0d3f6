/** What the command-line tool reads from a process. */
import type * as connect from "@connectrpc/connect";
import type * as membership from "../membership/types.js";
import type * as recorders from "../metrics/recorder.js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";
import type * as boards from "./board.js";

const NEVER = -1n;

export interface Operations {
    readonly board: boards.Board;
    readonly recorder: recorders.Recorder;
    readonly self: () => membership.Member;
    readonly requestsInFlight: () => number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** Starts a graceful shutdown. */
    readonly drain: () => void;
}

type Service = connect.ServiceImpl<typeof operations.OperationsService>;

export function createOperationsService(source: Operations): Service {
    return {
        status: () => ({
            self: message(source.self()),
            manifestVersion: BigInt(source.board.read("configuration").version),
            members: [...source.board.read("members").values()].map(message),
            storeAgeMs: age(source.board.read("storeSeenAt"), source.now()),
            counters: source.recorder.counters().map(count => ({ ...count, value: BigInt(Math.round(count.value)) })),
            requestsInFlight: source.requestsInFlight(),
        }),
        histograms: () => ({ histograms: [...source.recorder.histograms()] }),
        drain: () => {
            source.drain();
            return { started: true };
        },
    };
}

function message(member: membership.Member) {
    return {
        incarnation: { address: member.incarnation.address, boot: member.incarnation.boot },
        role: member.role,
        dataCentre: member.dataCentre,
        backendServer: member.backendServer,
        state: member.state,
    };
}

function age(seenAt: number, now: number): bigint {
    return Number.isFinite(seenAt) ? BigInt(Math.round(now - seenAt)) : NEVER;
}
