/** Size of the memory budget of a process, from the limit of its machine. */

const MEGABYTE = 1024 * 1024;
/** Resident memory in bytes of a process without load: the runtime, the program, and its copies of the store. */
const BASE_BYTES = 64 * MEGABYTE;
/** Part of the rest that may be reserved. Buffers that were released stay resident until they are collected. */
const RESERVED_SHARE = 0.55;
const MINIMUM_CAPACITY_BYTES = 12 * MEGABYTE;

/** Bytes that may be reserved in a process that may have `limitBytes` of memory; `Infinity` without a limit. */
export function capacityOf(limitBytes: number | undefined): number {
    if (limitBytes === undefined) {
        return Infinity;
    }
    return Math.max(MINIMUM_CAPACITY_BYTES, (limitBytes - BASE_BYTES) * RESERVED_SHARE);
}
