/** What the rig disturbed and when, and which machines were in touch. Times are in milliseconds of the monotonic clock. */
import * as bounds from "./bounds.js";

/** `machine`: its process or its path to the store; `core-away`: the store was down or slow; `core`: another fault of it. */
export type Scope = "machine" | "core-away" | "core";

export interface Disturbance {
    readonly name: string;
    readonly scope: Scope;
    /** Undefined for all machines. */
    readonly machines: ReadonlySet<string> | undefined;
    readonly from: number;
    /** Infinite while it lasts. */
    until: number;
    /** The end of a process in a planned stop; it disturbs its machine only. */
    readonly isPlanned: boolean;
    readonly detail: string;
}

export class Disturbances {
    readonly all: Disturbance[] = [];

    begin(disturbance: Omit<Disturbance, "until">): Disturbance {
        const begun = { ...disturbance, until: Number.POSITIVE_INFINITY };
        this.all.push(begun);
        return begun;
    }

    /** Whether a machine was in touch at each moment of a span. */
    isInTouch(machine: string, from: number, until: number): boolean {
        return this.isUndisturbed(machine, from, until) && this.isCoreStable(from, until);
    }

    /** Whether nothing disturbed the machine and its path to the store in a span and `contactMs` before it. */
    isUndisturbed(machine: string, from: number, until: number): boolean {
        return !this.during(from, until).some(({ scope, machines }) => {
            return scope === "machine" && (machines === undefined || machines.has(machine));
        });
    }

    isCoreStable(from: number, until: number): boolean {
        return !this.during(from, until).some(({ scope }) => scope !== "machine");
    }

    /** Whether the store was down or slow, or lost responses, which excuses more than another disturbance of it. */
    isCoreAway(from: number, until: number): boolean {
        return this.during(from, until).some(({ scope }) => scope === "core-away");
    }

    /** Whether anything unplanned was disturbed, at whatever machine. */
    isCalm(machine: string, from: number, until: number): boolean {
        return !this.during(from, until).some(({ scope, machines, isPlanned }) => {
            return !isPlanned && (scope !== "machine" || machines === undefined || machines.has(machine));
        });
    }

    /** Disturbances in a span and in the `contactMs` before it. */
    during(from: number, until: number): readonly Disturbance[] {
        return this.all.filter(entry => entry.from <= until && entry.until >= from - bounds.BOUNDS.contactMs);
    }
}
