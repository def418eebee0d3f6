/** Decides whether a manifest replaces the configuration in force. */
import type * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as gossip from "../gossip/types.js";
import * as compiler from "../manifest/compile.js";
import type * as manifest from "../manifest/types.js";

/** Name of the gossip document that distributes the manifest. */
export const MANIFEST_DOCUMENT = "manifest";
/** Name of the object in the object API that stores the manifest. */
export const MANIFEST_OBJECT = "config/manifest";

/** A manifest received from the object API or from another process. */
export interface Candidate {
    /** Version of the object in the store. */
    readonly version: number;
    readonly text: string;
}

export type AdoptionDecision =
    | { readonly action: "adopt"; readonly configuration: manifest.Configuration; }
    /** The candidate is not newer than the configuration in force. */
    | { readonly action: "ignore"; }
    | { readonly action: "reject"; readonly failure: failures.Failure; };

/** Decides whether to adopt a candidate. A version that is not higher is ignored; an invalid manifest is rejected. */
export function decideAdoption(inForce: manifest.Configuration, candidate: Candidate): AdoptionDecision {
    if (candidate.version <= inForce.version) {
        return { action: "ignore" };
    }
    const compiled = tryCompile(candidate);
    return compiled.ok
        ? { action: "adopt", configuration: compiled.value }
        : { action: "reject", failure: compiled.failure };
}

/** Catches unexpected parser errors, which must not interrupt the document exchange that delivered the candidate. */
function tryCompile(candidate: Candidate): outcomes.Outcome<manifest.Configuration> {
    try {
        return compiler.compile(candidate.text, candidate.version, MANIFEST_OBJECT);
    }
    catch (error) {
        return outcomes.fail("manifest-invalid", `${MANIFEST_OBJECT}: (top level): ${String(error)}`);
    }
}

export function toDocument(candidate: Candidate): gossip.Document {
    return { name: MANIFEST_DOCUMENT, version: candidate.version, value: { text: candidate.text } };
}

/** Decodes the document `manifest`. Fails with `manifest-invalid` when its value is not `{ text }`. */
export function fromDocument(document: gossip.Document): outcomes.Outcome<Candidate> {
    const value = document.value as { readonly text?: unknown; } | undefined;
    if (typeof value !== "object" || typeof value?.text !== "string") {
        return outcomes.fail("manifest-invalid", `document ${document.name}: expected { text }`);
    }
    return outcomes.succeed({ version: document.version, text: value.text });
}
