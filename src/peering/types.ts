/** Messages between the processes of a deployment. */

export type Role = "entry" | "agent";

/** Where a process is reached. */
export interface Member {
    readonly name: string;
    readonly role: Role;
    /** IP:PORT for beats (UDP). */
    readonly beatAddress: string;
    /** IP:PORT for documents (HTTP). */
    readonly documentAddress: string;
    /** Address of the backend server beside an agent. */
    readonly serverAddress: string | undefined;
}

/** Calls of one entry at one server. */
export interface ServerUse {
    readonly calls: number;
    /** Prompt tokens of calls without a first event that the server still has to read. */
    readonly unreadTokens: number;
}

/** A shared prompt part that a server reads, since no store has it yet. */
export interface Reading {
    /** Hash of the part and the scope under which it is cached. */
    readonly part: number;
    /** Id of the server. */
    readonly server: string;
    /** The server has read the part and saves it. */
    readonly isRead: boolean;
}

export interface WeightsState {
    readonly model: string;
    readonly version: number;
}

/** What an agent says of the server beside it. */
export interface ServerReport {
    readonly address: string;
    /** The server answered its last report call. */
    readonly isAlive: boolean;
    readonly startedAt: number | undefined;
    readonly weights: readonly WeightsState[];
    /** The server is about to load weights or is loading them; new calls would wait or be rejected. */
    readonly isMoving: boolean;
    /** The server moves soon; calls that run for long would delay that. */
    readonly isWindingDown: boolean;
    readonly running: number;
    readonly waiting: number;
}

export interface NamedVersion {
    readonly model: string;
    readonly version: number;
    readonly revision: number;
}

/** Periodic message of a process to the others. */
export interface Beat {
    readonly member: Member;
    /** Identity of this run of the process. */
    readonly incarnation: string;
    /** Increases with each beat of the incarnation; datagrams may overtake each other. */
    readonly sequence: number;
    /** The process ends soon and takes no new work. */
    readonly isLeaving: boolean;
    /** Newest change per kind of the store that the process has a copy of. */
    readonly changes: Readonly<Record<string, number>>;
    /** Tokens spent per customer since the start; entries only. */
    readonly spending: Readonly<Record<string, number>>;
    /** Use of servers by address; entries only. */
    readonly use: Readonly<Record<string, ServerUse>>;
    /** Parts that servers read for calls of this process; entries only. */
    readonly readings: readonly Reading[];
    readonly weights: readonly NamedVersion[];
    readonly report: ServerReport | undefined;
}
