/** RPC service through which the command-line tool inspects and drains a process. */
import type * as connect from "@connectrpc/connect";
import type * as membership from "../membership/types.js";
import type * as recorders from "../metrics/recorder.js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";
import type * as boards from "./board.js";

/** Value of `storeAgeMs` while the store has not been reached yet. */
const NEVER_REACHED = -1n;

export interface OperationsDependencies {
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

export function createOperationsService(dependencies: OperationsDependencies): Service {
    return {
        status: () => ({
            self: toMemberMessage(dependencies.self()),
            manifestVersion: BigInt(dependencies.board.read("configuration").version),
            members: [...dependencies.board.read("members").values()].map(toMemberMessage),
            storeAgeMs: ageMs(dependencies.board.read("storeSeenAt"), dependencies.now()),
            counters: dependencies.recorder.counters().map(counter => ({
                ...counter,
                value: BigInt(Math.round(counter.value)),
            })),
            requestsInFlight: dependencies.requestsInFlight(),
        }),
        histograms: () => ({ histograms: [...dependencies.recorder.histograms()] }),
        drain: () => {
            dependencies.drain();
            return { started: true };
        },
    };
}

function toMemberMessage(member: membership.Member) {
    return {
        incarnation: { address: member.incarnation.address, boot: member.incarnation.boot },
        role: member.role,
        dataCentre: member.dataCentre,
        backendServer: member.backendServer,
        state: member.state,
    };
}

function ageMs(seenAt: number, now: number): bigint {
    return Number.isFinite(seenAt) ? BigInt(Math.round(now - seenAt)) : NEVER_REACHED;
}
