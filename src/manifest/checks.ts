/** Semantic checks of a manifest that the schema cannot express. */
import type * as schema from "./schema.js";

const FIRST_STEP_MAXIMUM_SHARE = 0.05;

/** A violation in a manifest. */
export interface Finding {
    /** Path of the field, such as `rollouts[0].steps`. */
    readonly path: string;
    readonly message: string;
}

type Check = (manifest: schema.Manifest) => readonly Finding[];

/** Returns all violations in a manifest that matches the schema. */
export function findings(manifest: schema.Manifest): readonly Finding[] {
    return CHECKS.flatMap(check => check(manifest));
}

const CHECKS: readonly Check[] = [
    manifest => duplicates("customers", manifest.customers.map(customer => customer.name)),
    manifest => duplicates("models", manifest.models.map(model => model.name)),
    manifest => duplicates("backend_servers", manifest.backend_servers.map(server => server.name)),
    manifest => duplicates("backend_servers.agent", manifest.backend_servers.map(server => server.agent)),
    manifest => duplicates("routes", manifest.routes.map(route => route.name)),
    manifest => duplicates("routes.path", manifest.routes.flatMap(route => routeKeys(route))),
    manifest => duplicates("rollouts", manifest.rollouts.map(rollout => rollout.name)),
    manifest => duplicates("rollouts.model", manifest.rollouts.map(rollout => rollout.model)),
    manifest => duplicates("customers.key_hashes", manifest.customers.flatMap(customer => customer.key_hashes)),
    serverFindings,
    routeFindings,
    rolloutFindings,
];

function duplicates(path: string, values: readonly string[]): readonly Finding[] {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    for (const value of values) {
        (seen.has(value) ? repeated : seen).add(value);
    }
    return [...repeated].map(value => ({
        path,
        message: `found "${value}" more than once; each value must be unique`,
    }));
}

function routeKeys(route: schema.Manifest["routes"][number]): readonly string[] {
    return route.methods.map(method => `${method} ${route.path}`);
}

function serverFindings(manifest: schema.Manifest): readonly Finding[] {
    const models = new Set(manifest.models.map(model => model.name));
    return manifest.backend_servers.flatMap((server, index) => {
        const path = `backend_servers[${index}]`;
        const unknown = server.models.filter(model => !models.has(model));
        const found: Finding[] = unknown.map(model => ({
            path: `${path}.models`,
            message: `found "${model}"; expected one of the declared models: ${[...models].join(", ")}`,
        }));
        if (server.kind === "engine" && server.models.length === 0) {
            found.push({ path: `${path}.models`, message: "found no model; an engine requires at least one" });
        }
        if (server.kind === "service" && server.service === "") {
            found.push({
                path: `${path}.service`,
                message: 'found no service; a server of kind "service" requires one',
            });
        }
        return found;
    });
}

function routeFindings(manifest: schema.Manifest): readonly Finding[] {
    const services = new Set(manifest.backend_servers.map(server => server.service).filter(service => service !== ""));
    return manifest.routes.flatMap((route, index) => {
        const found: Finding[] = [];
        if (!services.has(route.service)) {
            found.push({
                path: `routes[${index}].service`,
                message: `found "${route.service}"; expected one of the services of the backend servers: ${
                    [...services].join(", ")
                }`,
            });
        }
        if (route.open && !route.idempotent) {
            found.push({
                path: `routes[${index}].open`,
                message: "found an open route that is not idempotent; at-most-once calls require an API key",
            });
        }
        if (route.path.startsWith("/v1/chat/") || route.path === "/v1/models") {
            found.push({ path: `routes[${index}].path`, message: `found "${route.path}"; the path is reserved` });
        }
        return found;
    });
}

function rolloutFindings(manifest: schema.Manifest): readonly Finding[] {
    const models = new Map(manifest.models.map(model => [model.name, model]));
    return manifest.rollouts.flatMap((rollout, index) => {
        const path = `rollouts[${index}]`;
        const found: Finding[] = [];
        const model = models.get(rollout.model);
        if (model === undefined) {
            found.push({
                path: `${path}.model`,
                message: `found "${rollout.model}"; expected one of the declared models`,
            });
        }
        else if (model.weights_version !== rollout.from) {
            found.push({
                path: `${path}.from`,
                message:
                    `found "${rollout.from}"; expected the weights version of the model, "${model.weights_version}"`,
            });
        }
        if (rollout.from === rollout.to) {
            found.push({ path: `${path}.to`, message: "found the old version; the new version must differ" });
        }
        if (rollout.steps[0] > FIRST_STEP_MAXIMUM_SHARE) {
            found.push({
                path: `${path}.steps[0]`,
                message: `found ${rollout.steps[0]}; expected at most ${FIRST_STEP_MAXIMUM_SHARE}`,
            });
        }
        if (rollout.steps.some((step, position) => position > 0 && step <= rollout.steps[position - 1])) {
            found.push({ path: `${path}.steps`, message: "found shares that do not increase" });
        }
        if (rollout.steps.at(-1) !== 1) {
            found.push({
                path: `${path}.steps`,
                message: `found ${rollout.steps.at(-1)} as the last share; expected 1`,
            });
        }
        return found;
    });
}
