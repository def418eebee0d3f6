/** Parses a manifest and compiles it into a configuration. An invalid manifest is rejected as a whole. */
import * as toml from "smol-toml";
import type * as zod from "zod";
import * as outcomes from "../core/outcome.js";
import * as checks from "./checks.js";
import * as schema from "./schema.js";
import type * as types from "./types.js";

/**
 * Compiles the TOML text of a manifest.
 *
 * Fails with `manifest-syntax` when the text is not valid TOML and with `manifest-invalid` when it violates the schema or
 * a semantic check; the detail lists each violation with its path.
 */
export function compile(text: string, version: number, source = "manifest"): outcomes.Outcome<types.Configuration> {
    const parsed = parse(text, source);
    if (!parsed.ok) {
        return parsed;
    }
    const result = schema.manifest.safeParse(parsed.value);
    if (!result.success) {
        return outcomes.fail("manifest-invalid", describeIssues(source, result.error.issues));
    }
    const findings = checks.findings(result.data);
    if (findings.length > 0) {
        const detail = findings.map(finding => `${source}: ${finding.path}: ${finding.message}`).join("; ");
        return outcomes.fail("manifest-invalid", detail);
    }
    return outcomes.succeed(configuration(result.data, version));
}

function parse(text: string, source: string): outcomes.Outcome<unknown> {
    try {
        return outcomes.succeed(toml.parse(text));
    }
    catch (error) {
        if (error instanceof toml.TomlError) {
            const position = `${source}:${error.line}:${error.column}`;
            return outcomes.fail("manifest-syntax", `${position}: ${error.message.split("\n")[0]}`);
        }
        throw error;
    }
}

function describeIssues(source: string, issues: readonly zod.core.$ZodIssue[]): string {
    return issues.map(issue => `${source}: ${pathOf(issue.path)}: ${issue.message}`).join("; ");
}

function pathOf(path: readonly PropertyKey[]): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
    return text === "" ? "(top level)" : text.replace(/^\./, "");
}

function configuration(manifest: schema.Manifest, version: number): types.Configuration {
    const customers = manifest.customers.map(customer);
    return {
        version,
        customers: byName(customers),
        keys: new Map(customers.flatMap(owner => owner.keyHashes.map(hash => [hash, owner.name] as const))),
        models: byName(manifest.models.map(model)),
        backendServers: byName(manifest.backend_servers.map(backendServer)),
        routes: manifest.routes.map(route),
        rollouts: manifest.rollouts.map(rollout),
    };
}

function byName<Item extends { readonly name: string; }>(items: readonly Item[]): ReadonlyMap<string, Item> {
    return new Map(items.map(item => [item.name, item]));
}

function customer(source: schema.Manifest["customers"][number]): types.Customer {
    return {
        name: source.name,
        keyHashes: source.key_hashes,
        rate: { requestsPerSecond: source.rate.requests_per_second, burst: source.rate.burst },
        weight: source.weight,
    };
}

function model(source: schema.Manifest["models"][number]): types.Model {
    return {
        name: source.name,
        weightsVersion: source.weights_version,
        adapters: source.adapters,
        pieceTokens: source.piece_tokens,
        parallelLoads: source.parallel_loads,
    };
}

function backendServer(source: schema.Manifest["backend_servers"][number]): types.BackendServer {
    return {
        name: source.name,
        dataCentre: source.data_centre,
        kind: source.kind,
        agentAddress: source.agent,
        models: source.models,
        service: source.service,
        weight: source.weight,
        checksFencing: source.checks_fencing,
    };
}

function route(source: schema.Manifest["routes"][number]): types.Route {
    return {
        name: source.name,
        path: source.path,
        methods: source.methods,
        service: source.service,
        idempotent: source.idempotent,
        open: source.open,
        deadlineMs: source.deadline_ms,
        lookupPath: source.lookup_path,
        settleAfterMs: source.settle_after_ms,
    };
}

function rollout(source: schema.Manifest["rollouts"][number]): types.Rollout {
    return {
        name: source.name,
        model: source.model,
        from: source.from,
        to: source.to,
        steps: source.steps,
        deadline: Date.parse(source.deadline),
        stepMs: source.step_ms,
    };
}
