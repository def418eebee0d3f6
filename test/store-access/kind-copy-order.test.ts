/** Guards against copies that show an older state of a record after a newer one, whatever order the answers arrive in. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as copies from "../../src/store-access/kind-copy.js";
import * as restoration from "../../src/store-access/restoration.js";
import type * as types from "../../src/store-access/types.js";

const NAMES = ["a", "b", "c"];

interface Event {
    readonly revision: number;
    readonly change: types.Change;
}

/** Store that keeps each of its states. */
class ModelStore {
    readonly era: number;
    readonly events: readonly Event[];
    readonly states: readonly (readonly types.StoredRecord[])[];

    private constructor(era: number, events: readonly Event[], states: readonly (readonly types.StoredRecord[])[]) {
        this.era = era;
        this.events = events;
        this.states = states;
    }

    static empty(): ModelStore {
        return new ModelStore(0, [], [[]]);
    }

    get revision(): number {
        return this.states.length - 1;
    }

    /** `value` is unique, so that an earlier state of a record can be told from a later one. */
    put(name: string, value: number): ModelStore {
        const revision = this.states.length;
        const record = { name, revision, spec: { value }, isDeleting: false };
        const others = this.states.at(-1)!.filter(known => known.name !== name);
        return this.with({ revision, change: { record, isDeleted: false } }, [...others, record]);
    }

    remove(name: string): ModelStore {
        const records = this.states.at(-1)!;
        const record = records.find(known => known.name === name);
        return record === undefined ? this : this.with(
            { revision: this.states.length, change: { record, isDeleted: true } },
            records.filter(known => known !== record),
        );
    }

    restored(revision: number): ModelStore {
        const events = this.events.filter(event => event.revision <= revision);
        return new ModelStore(this.era + 1, events, this.states.slice(0, revision + 1));
    }

    listing(): types.Listing {
        return { era: this.era, revision: this.revision, records: this.states.at(-1)! };
    }

    /** Answer to a watch, from the state at the given revision. */
    changes(afterRevision: number, revision: number): types.Changes {
        const events = this.events.filter(event => event.revision > afterRevision && event.revision <= revision);
        return { era: this.era, revision, changes: events.map(event => event.change) };
    }

    private with(event: Event, records: readonly types.StoredRecord[]): ModelStore {
        return new ModelStore(this.era, [...this.events, event], [...this.states, records]);
    }
}

function byName(records: readonly types.StoredRecord[]): readonly types.StoredRecord[] {
    return records.toSorted((left, right) => left.name < right.name ? -1 : 1);
}

/** Two processes, which watch the store and adopt each other's copies, and answers that are still on their way. */
class Simulation {
    store = ModelStore.empty();
    readonly copies: readonly copies.KindCopy[];
    private readonly answers: { copy: number; askedAt: types.Position; batch: types.Changes; }[] = [];
    private readonly listings: { copy: number; listing: types.Listing; }[] = [];
    /** States of the store by era; a restored store shares the states up to its backup with the era before. */
    private readonly stores = new Map<number, ModelStore>();
    private value = 0;

    constructor(
        create = () => new copies.KindCopy({ ownersReregister: false, restoration: restoration.asStored }),
    ) {
        this.copies = [create(), create()];
    }

    /** Time in milliseconds. */
    protected get time(): number {
        return 0;
    }

    put(name: string): void {
        this.store = this.store.put(name, this.value++);
    }

    remove(name: string): void {
        this.store = this.store.remove(name);
    }

    restore(revision: number): void {
        this.stores.set(this.store.era, this.store);
        this.store = this.store.restored(revision % (this.store.revision + 1));
    }

    /** The store answers a watch from its present state or an earlier one; the answer is still on its way. */
    ask(copy: number, ageInRevisions: number): void {
        const askedAt = this.copies[copy]!.position;
        const revision = Math.max(0, this.store.revision - ageInRevisions);
        if (askedAt.era >= 0 && askedAt.revision <= this.store.revision) {
            this.answers.push({ copy, askedAt, batch: this.store.changes(askedAt.revision, revision) });
        }
    }

    list(copy: number): void {
        this.listings.push({ copy, listing: this.store.listing() });
    }

    /** The copy of the other process, which is on its way as well. */
    fetch(copy: number): void {
        const other = this.copies[1 - copy]!;
        if (other.isLoaded) {
            this.listings.push({ copy, listing: other.listing(this.time) });
        }
    }

    /** An answer arrives, in any order, and maybe again. */
    deliverChanges(index: number, isRepeated: boolean): void {
        const answer = this.answers[index % Math.max(1, this.answers.length)];
        if (answer === undefined) {
            return;
        }
        this.copies[answer.copy]!.apply(answer.batch, answer.askedAt, this.time);
        if (!isRepeated) {
            this.answers.splice(this.answers.indexOf(answer), 1);
        }
    }

    deliverListing(index: number, isRepeated: boolean): void {
        const answer = this.listings[index % Math.max(1, this.listings.length)];
        if (answer === undefined) {
            return;
        }
        this.copies[answer.copy]!.replace(answer.listing, this.time);
        if (!isRepeated) {
            this.listings.splice(this.listings.indexOf(answer), 1);
        }
    }

    /** Each copy is the store's state at the copy's position. */
    check(): void {
        for (const copy of this.copies.filter(candidate => candidate.isLoaded)) {
            const { era, revision } = copy.position;
            const { states } = era === this.store.era ? this.store : this.stores.get(era)!;
            assert.deepEqual(
                byName(copy.records(this.time)),
                byName(states[revision]!),
                `era ${era}, revision ${revision}`,
            );
        }
    }

    finish(): void {
        this.update();
        this.copies.forEach(copy => {
            assert.deepEqual(byName(copy.records(this.time)), byName(this.store.listing().records));
        });
    }

    /** The answers to a last call of each process arrive. */
    protected update(): void {
        this.copies.forEach((copy, index) => {
            if (copy.position.era < this.store.era) {
                this.list(index);
                this.deliverListing(this.listings.length - 1, false);
            }
            this.ask(index, 0);
            this.deliverChanges(this.answers.length - 1, false);
        });
    }
}

type Step = (simulation: Simulation) => void;

const name = fastCheck.constantFrom(...NAMES);
const process = fastCheck.nat(1);
const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
    name.map(which => (simulation: Simulation) => simulation.put(which)),
    name.map(which => (simulation: Simulation) => simulation.remove(which)),
    fastCheck.tuple(process, fastCheck.nat(4))
        .map(([copy, age]) => (simulation: Simulation) => simulation.ask(copy, age)),
    process.map(copy => (simulation: Simulation) => simulation.list(copy)),
    process.map(copy => (simulation: Simulation) => simulation.fetch(copy)),
    fastCheck.tuple(fastCheck.nat(20), fastCheck.boolean())
        .map(([index, isRepeated]) => (simulation: Simulation) => simulation.deliverChanges(index, isRepeated)),
    fastCheck.tuple(fastCheck.nat(20), fastCheck.boolean())
        .map(([index, isRepeated]) => (simulation: Simulation) => simulation.deliverListing(index, isRepeated)),
);
const restore: fastCheck.Arbitrary<Step> = fastCheck.nat(60)
    .map(revision => (simulation: Simulation) => simulation.restore(revision));

function assertOrdered(steps: readonly Step[]): void {
    const simulation = new Simulation();
    for (const take of steps) {
        take(simulation);
        simulation.check();
    }
    simulation.finish();
}

testing.test("guards against a late answer that brings back a removed record or removes one that was created again", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 60, size: "max" }), assertOrdered),
        { numRuns: 3000 },
    );
});

testing.test("restored store: guards against an answer from one era that is applied to a copy of another", () => {
    const steps = fastCheck.oneof({ weight: 20, arbitrary: step }, { weight: 1, arbitrary: restore });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(steps, { maxLength: 60, size: "max" }), assertOrdered),
        { numRuns: 3000 },
    );
});

/** Time in milliseconds by which all grace periods are over. */
const SETTLED_MS = 60_000;

/** Each value of a record is higher than all earlier ones, as versions are. */
const BY_VALUE = restoration.byVersion(record => [valueOf(record)]);

function valueOf({ spec }: types.StoredRecord): number {
    return (spec as { readonly value: number; }).value;
}

/** Remembers the highest value that each copy has shown of each record, while outages and restores come and go. */
class HoldingSimulation extends Simulation {
    private now = 0;
    private readonly highest = new Map<string, number>();

    constructor() {
        super(() => new copies.KindCopy({ ownersReregister: true, restoration: BY_VALUE }));
    }

    protected override get time(): number {
        return this.now;
    }

    pass(durationMs: number): void {
        this.now += durationMs;
    }

    recover(copy: number, outageMs: number): void {
        this.copies[copy]!.storeRecovered(this.now, outageMs);
    }

    override check(): void {
        for (const [index, copy] of this.copies.entries()) {
            for (const record of copy.records(this.now)) {
                const key = `${index} ${record.name}`;
                const shown = valueOf(record);
                assert.ok(shown >= (this.highest.get(key) ?? -1), `${key} is ${shown} after ${this.highest.get(key)}`);
                this.highest.set(key, shown);
            }
        }
    }

    /** What is held longer than all grace periods is later than what the store has. */
    override finish(): void {
        this.update();
        this.pass(SETTLED_MS);
        this.check();
        const stored = this.store.listing().records;
        for (const copy of this.copies) {
            const shown = copy.records(this.now);
            assert.deepEqual(shown.map(({ name }) => name).sort(), stored.map(({ name }) => name).sort());
            for (const record of shown) {
                const known = stored.find(({ name }) => name === record.name)!;
                assert.equal(record.revision, known.revision);
                assert.ok(valueOf(record) >= valueOf(known));
            }
        }
    }
}

const holdingStep: fastCheck.Arbitrary<(simulation: HoldingSimulation) => void> = fastCheck.oneof(
    { weight: 20, arbitrary: step },
    { weight: 3, arbitrary: restore },
    {
        weight: 2,
        arbitrary: fastCheck.tuple(process, fastCheck.constantFrom(200, 4000))
            .map(([copy, outageMs]) => (simulation: HoldingSimulation) => simulation.recover(copy, outageMs)),
    },
    {
        weight: 3,
        arbitrary: fastCheck.nat(8000).map(durationMs => (simulation: HoldingSimulation) =>
            simulation.pass(durationMs)
        ),
    },
);

testing.test("guards against an older state that is shown after a newer one in outages and restores of the store", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(holdingStep, { maxLength: 60, size: "max" }), steps => {
            const simulation = new HoldingSimulation();
            for (const take of steps) {
                take(simulation);
                simulation.check();
            }
            simulation.finish();
        }),
        { numRuns: 3000 },
    );
});
