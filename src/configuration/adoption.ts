/** Decides whether a manifest replaces the configuration in force. */
import type * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as gossip from "../gossip/types.js";
import * as compiler from "../manifest/compile.js";
import type * as manifest from "../manifest/types.js";

/** Document that carries the manifest between processes. */
export const MANIFEST_DOCUMENT = "manifest";
/** Object of the object API that holds the manifest. */
export const MANIFEST_OBJECT = "config/manifest";

/** A manifest that some source offers. */
export interface Candidate {
    /** Version of the object in the store. */
    readonly version: number;
    readonly text: string;
}

export type Judgement =
    | { readonly action: "adopt"; readonly configuration: manifest.Configuration; }
    /** The candidate is not newer than the configuration in force. */
    | { readonly action: "ignore"; }
    | { readonly action: "reject"; readonly failure: failures.Failure; };

/** Judges a candidate. A version that is not higher is ignored, and one that does not compile is rejected. */
export function judge(inForce: manifest.Configuration, candidate: Candidate): Judgement {
    if (candidate.version <= inForce.version) {
        return { action: "ignore" };
    }
    const compiled = compileSafely(candidate);
    return compiled.ok
        ? { action: "adopt", configuration: compiled.value }
        : { action: "reject", failure: compiled.failure };
}

/** An unexpected error of the parser must not stop the exchange of documents that delivered the candidate. */
function compileSafely(candidate: Candidate): outcomes.Outcome<manifest.Configuration> {
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

/** Reads the document `manifest`. Fails with `manifest-invalid` when its value is not `{ text }`. */
export function fromDocument(document: gossip.Document): outcomes.Outcome<Candidate> {
    const value = document.value as { readonly text?: unknown; } | undefined;
    if (typeof value !== "object" || typeof value?.text !== "string") {
        return outcomes.fail("manifest-invalid", `document ${document.name}: expected { text }`);
    }
    return outcomes.succeed({ version: document.version, text: value.text });
}
