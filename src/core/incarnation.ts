/** Identity of one run of a process; a restart gives the process a new one. */
export interface Incarnation {
    /** `host:port` of the RPC server of the process. */
    readonly address: string;
    /** Random identifier generated when the process starts. */
    readonly boot: string;
}

export function sameIncarnation(left: Incarnation, right: Incarnation): boolean {
    return left.address === right.address && left.boot === right.boot;
}

export function incarnationId(incarnation: Incarnation): string {
    return `${incarnation.address}#${incarnation.boot}`;
}
