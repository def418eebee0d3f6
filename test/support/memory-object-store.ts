/** In-memory object store with injected faults, for tests of code that uses the object API. */
import * as outcomes from "../../src/core/outcome.js";
import type * as types from "../../src/object-api/types.js";

/** With "lose-answers" a write takes effect, but its caller gets no confirmation. */
export type Fault = "none" | "outage" | "lose-answers";

export class MemoryObjectStore implements types.ObjectStore {
    fault: Fault = "none";
    writes = 0;
    private revision = 0;
    private readonly objects = new Map<string, types.StoredObject>();

    async get(name: string): Promise<outcomes.Outcome<types.StoredObject | undefined>> {
        return this.fault === "outage" ? outage() : outcomes.succeed(this.objects.get(name));
    }

    async list(prefix: string): Promise<outcomes.Outcome<readonly types.StoredObject[]>> {
        return this.fault === "outage" ? outage() : outcomes.succeed(this.matching(prefix, 0));
    }

    async put(name: string, value: string, expectedVersion: number): Promise<outcomes.Outcome<number>> {
        if (this.fault === "outage") {
            return outage();
        }
        const current = this.objects.get(name)?.version ?? 0;
        if (current !== expectedVersion) {
            return outcomes.fail("store-conflict", `${name} has version ${current}`);
        }
        this.revision++;
        this.writes++;
        this.objects.set(name, { name, version: this.revision, value });
        if (this.fault === "lose-answers") {
            return outcomes.fail("store-write-unconfirmed", name);
        }
        return outcomes.succeed(this.revision);
    }

    async watch(prefix: string, afterRevision: number): Promise<outcomes.Outcome<types.ObjectChanges>> {
        if (this.fault === "outage") {
            return outage();
        }
        return outcomes.succeed({ revision: this.revision, objects: this.matching(prefix, afterRevision) });
    }

    private matching(prefix: string, afterRevision: number): readonly types.StoredObject[] {
        return [...this.objects.values()]
            .filter(object => object.name.startsWith(prefix) && object.version > afterRevision);
    }
}

function outage(): outcomes.FailedOutcome {
    return outcomes.fail("store-unavailable", "outage");
}
