/** Limits of memory and descriptors of the processes, as the deployments in force have them. */
import type * as deployments from "./deployment.js";
import type * as randoms from "./random.js";

export interface ProcessLimits {
    /** Megabytes of 2^20 bytes. */
    readonly memoryMb: number;
    readonly maxFds: number;
}

const CHOICES: Readonly<
    Record<deployments.Role, { readonly memoryMb: readonly number[]; readonly maxFds: readonly number[]; }>
> = {
    entry: { memoryMb: [160, 178, 200, 250, 350, 602], maxFds: [4100, 4200, 8192] },
    agent: { memoryMb: [282], maxFds: [4096] },
};

export function chooseLimits(role: deployments.Role, random: randoms.Random): ProcessLimits {
    const { memoryMb, maxFds } = CHOICES[role];
    return { memoryMb: random.pick(memoryMb), maxFds: random.pick(maxFds) };
}
