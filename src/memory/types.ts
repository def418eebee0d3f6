/** What the memory of a process is used for, and who uses it. */

/**
 * - `upload`: bodies of requests, from their first byte until the call no longer needs them.
 * - `answer`: answers of backend servers that are buffered or wait for a caller that reads slowly.
 * - `control`: answers of the store, of peers and of the local backend server.
 * - `connection`: connections of callers, and what the runtime and the kernel buffer for each.
 */
export type Purpose = "upload" | "answer" | "control" | "connection";

/** Memory of a process as the operating system counts it, in bytes. */
export interface ProcessMemory {
    readonly residentBytes: number;
    readonly heapBytes: number;
    /** Buffers outside the heap. */
    readonly externalBytes: number;
}
