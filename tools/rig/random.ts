/** Seeded random choices. */
export class Random {
    constructor(private state: number) {}

    /** Another sequence, the same for the same seed and number, however far this one has advanced. */
    static stream(seed: number, number: number): Random {
        return new Random(Math.imul(seed, 0x9E3779B1) ^ Math.imul(number + 1, 0x85EBCA6B));
    }

    /** Number from 0, exclusive of 1 (mulberry32). */
    readonly next = (): number => {
        this.state = this.state + 0x6D2B79F5 | 0;
        let mixed = Math.imul(this.state ^ this.state >>> 15, 1 | this.state);
        mixed = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
        return ((mixed ^ mixed >>> 14) >>> 0) / 2 ** 32;
    };

    between(from: number, to: number): number {
        return from + this.next() * (to - from);
    }

    /** Whole number from `from` to `to`, both included. */
    integer(from: number, to: number): number {
        return Math.floor(this.between(from, to + 1));
    }

    chance(probability: number): boolean {
        return this.next() < probability;
    }

    pick<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.next() * items.length)]!;
    }

    /** A share of the items, at least one, in random order. */
    share<Item>(items: readonly Item[], share: number): readonly Item[] {
        const keyed = items.map(item => ({ item, key: this.next() })).sort((left, right) => left.key - right.key);
        return keyed.slice(0, Math.max(1, Math.round(items.length * share))).map(({ item }) => item);
    }
}
