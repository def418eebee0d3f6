/** Types of the command-line tool. */
import type * as meow from "meow";
import type * as clocks from "../clock/clock.js";
import type * as outcomes from "../core/outcome.js";
import type * as objectApi from "../object-api/types.js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";

export interface Terminal {
    /** Writes a line to standard output. */
    print(line: string): void;
    /** Writes a line to standard error. */
    warn(line: string): void;
    /** Reads standard input to its end. */
    readInput(): Promise<string>;
}

/** RPC calls to processes. Each fails with `peer-unreachable` if nothing listens, else with `peer-connection-lost`. */
export interface OperationsClient {
    status(address: string): Promise<outcomes.Outcome<operations.StatusResponse>>;
    histograms(address: string): Promise<outcomes.Outcome<operations.HistogramsResponse>>;
    drain(address: string): Promise<outcomes.Outcome<operations.DrainResponse>>;
}

/** Clients of the processes and the platform. They connect on first use. */
export interface Services {
    readonly operations: OperationsClient;
    objectStore(url: string): objectApi.ObjectStore;
    instanceList(url: string): objectApi.InstanceList;
}

/** Flags of all commands. Each command declares the ones that it accepts. */
export interface Flags {
    readonly json: boolean;
    readonly seed: readonly string[];
    readonly objectApi?: string;
    readonly instanceList?: string;
    readonly timeoutMs: number;
    readonly expect?: number;
    readonly wait: boolean;
    readonly host?: string;
    readonly path?: string;
    readonly customer?: string;
    readonly model?: string;
    readonly tokens?: string;
    readonly parts?: string;
    readonly callId?: string;
}

export interface Invocation {
    /** Arguments that are not flags. */
    readonly input: readonly string[];
    readonly flags: Flags;
    readonly terminal: Terminal;
    readonly services: Services;
    readonly clock: clocks.Clock;
}

export interface Command {
    readonly help: string;
    readonly flags: NonNullable<meow.Options<meow.AnyFlags>["flags"]>;
    /** Returns the exit code. */
    run(invocation: Invocation): Promise<number>;
}
