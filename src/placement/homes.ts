/** The regions in which a call may run, and in which the cached parts of its prompt may be. */

export interface Homes {
    /** Same for calls with the same regions, which may share cached parts. */
    readonly key: string;
    /** False for a data centre in an unknown region as well. */
    readonly includes: (dataCentre: string) => boolean;
}

/**
 * Combines the lists of a call's route and customer, of which each binds that names a region; undefined if none does.
 * `regions` has the region of each data centre.
 */
export function homesOf(
    lists: readonly (readonly string[] | undefined)[],
    regions: ReadonlyMap<string, string>,
): Homes | undefined {
    const binding = lists.filter(list => list !== undefined && list.length > 0);
    if (binding.length === 0) {
        return undefined;
    }
    const [first, ...others] = binding as [readonly string[], ...(readonly string[])[]];
    const permitted = new Set(first.filter(region => others.every(list => list.includes(region))));
    return {
        key: [...permitted].sort().map(encodeURIComponent).join(","),
        includes: dataCentre => {
            const region = regions.get(dataCentre);
            return region !== undefined && permitted.has(region);
        },
    };
}
