/** Fingerprints by which a call is recognized as one that crashes servers. */
import type * as fleet from "../fleet/types.js";
import * as requestFingerprints from "../quarantine/fingerprint.js";

export interface FingerprintedCall {
    readonly head: fleet.CallHead;
    readonly customer: fleet.Customer | undefined;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer;
}

/** The shared parts of the prompt, and the request as a whole, which its caller may send again with another call id. */
export class CallFingerprints {
    private computed: readonly string[] | undefined;

    constructor(private readonly call: FingerprintedCall) {}

    get all(): readonly string[] {
        this.computed ??= this.compute();
        return this.computed;
    }

    private compute(): readonly string[] {
        const { head, customer, method, path, body } = this.call;
        const parts = head.parts.slice(0, -1).map(part => `part:${part.id}`);
        const content = `${method} ${path}\n${body.toString("latin1")}`;
        const request = requestFingerprints.fingerprint(customer?.name ?? "", content);
        return [...new Set(parts), `request:${request}`];
    }
}
