/** Random sampling with a random source given by the caller. */

/** Picks up to `count` distinct items in random order. `random` returns uniform numbers in [0, 1). */
export function sample<Item>(items: readonly Item[], count: number, random: () => number): readonly Item[] {
    const pool = [...items];
    const size = Math.min(count, pool.length);
    for (let index = 0; index < size; index++) {
        const other = index + Math.floor(random() * (pool.length - index));
        [pool[index], pool[other]] = [pool[other], pool[index]];
    }
    return pool.slice(0, size);
}
