/**
 * Limits of answers whose bytes arrive in many small chunks. The work for a chunk does not depend on its size, so that a limit
 * in bytes alone allows a hundred times the work of the same bytes in large chunks.
 */

/** Bytes that each chunk, and each event of a stream, counts beside its content. */
export const CHUNK_COST_BYTES = 256;
/** Chunks that any body may have. */
const MINIMUM_CHUNKS = 1024;

/** Most chunks of a body that may have up to `maximumBytes`. */
export function maximumChunks(maximumBytes: number): number {
    return Math.max(MINIMUM_CHUNKS, Math.ceil(maximumBytes / CHUNK_COST_BYTES));
}
