/**
 * Another writer leaves entries of kind `servers` that name a service which the configuration does not have, and the
 * addresses of the booking workers, which run on. The routes to the booking service were added by a later version of the
 * configuration.
 */
import { pause, run } from "../stand-ins-3/deployment.mjs";
import { send } from "../stand-ins-3/requester.mjs";
import * as site from "../stand-ins-3/site.mjs";
import { Worker } from "../stand-ins-3/worker.mjs";

const MODEL_WORKERS = 3;
const BOOKING_WORKERS = 3;
const INTERVAL_MS = 60;
const CALM_MS = 4000;
const TROUBLE_MS = 12_000;
/** Time after the ack of a version by which it is in force, and some more. */
const APPLIED_MS = 3000;
/** Routes that were added later are to be served at least this often, relative to the first routes. */
const LEAST_SHARE = 0.25;
const LEAST_REQUESTS = 20;
const ADDED_ROUTES = ["book", "lookUp"];

await run(import.meta.dirname, async (deployment, hasTrouble) => {
    const added = site.configuration(8);
    const first = site.configuration(7, { routes: added.routes.filter(({ name }) => !ADDED_ROUTES.includes(name)) });
    deployment.store.put("config", "main", first);
    deployment.store.put("versions", site.MODEL, { model: site.MODEL, version: 1 });
    const workers = Array.from({ length: MODEL_WORKERS + BOOKING_WORKERS }, (_, number) => {
        const address = deployment.workerAddress(number);
        return number < MODEL_WORKERS
            ? new Worker(deployment, { address, service: site.MODEL_SERVICE, model: site.MODEL, slots: 96 })
            : new Worker(deployment, { address, service: site.BOOKING_SERVICE, slots: 6 });
    });
    await Promise.all(workers.map(worker => worker.start()));
    const bookingWorkers = workers.slice(MODEL_WORKERS);
    const entries = [deployment.addEntry(), deployment.addEntry()];
    const agents = workers.slice(0, MODEL_WORKERS).map(worker => deployment.addAgent(worker.address));
    [...entries, ...agents].forEach(machine => machine.start());
    await Promise.all(entries.map(entry => entry.ready()));
    await pause(4000);
    deployment.store.put("config", "main", added);
    deployment.record(`version ${added.version} adds the routes ${ADDED_ROUTES.join(" and ")}`);
    await pause(APPLIED_MS);

    const kinds = [
        { name: "note", path: `${site.ROUTES.note}2f`, headers: site.modelHeaders([["5c1e07a2", 800], ["1", 250]], 10) },
        { name: "book", path: `${site.ROUTES.book}2f`, headers: site.AUTHORIZATION },
        { name: "lookUp", path: `${site.ROUTES.lookUp}2f`, headers: site.AUTHORIZATION, method: "GET" },
    ];
    const answers = [];
    let number = 0;
    const play = async (phase, durationMs) => {
        const endsAt = performance.now() + durationMs;
        const pending = [];
        while (performance.now() < endsAt) {
            const { name, ...request } = kinds[number++ % kinds.length];
            const sent = send(entries[number % 2], { host: site.HOST, deadlineMs: 4000, ...request });
            pending.push(sent.then(({ status, isComplete }) => {
                answers.push({ phase, name, status, isServed: status === 200 && isComplete });
            }));
            await pause(INTERVAL_MS);
        }
        await Promise.all(pending);
    };
    const shareOf = (phase, name) => {
        const all = answers.filter(answer => answer.phase === phase && (name === undefined || answer.name === name));
        const statuses = [...new Set(all.map(({ status }) => status))];
        const counts = statuses.map(status => `${all.filter(answer => answer.status === status).length} x ${status}`);
        const share = all.filter(({ isServed }) => isServed).length / all.length;
        deployment.record(`${phase}, ${name ?? "all"}: ${all.length} requests, ${share.toFixed(3)} served (${counts.join(", ")})`);
        return share;
    };

    await play("before", CALM_MS);
    if (hasTrouble) {
        for (const [index, worker] of bookingWorkers.entries()) {
            const entry = {
                service: "menu-archive",
                address: worker.address,
                zone: "noe-1",
                version: "v1",
                slots: 6,
                state: "ready",
                coldRemainingMs: 0,
                born: Date.now(),
                seq: 1,
            };
            deployment.store.put("servers", `archive-${index}`, entry);
            deployment.record(`another writer puts servers/archive-${index}: ${JSON.stringify(entry)}`);
        }
    }
    await play("after", TROUBLE_MS);
    kinds.forEach(({ name }) => shareOf("before", name));
    const firstShare = shareOf("after", "note");
    const late = answers.filter(({ phase, name }) => phase === "after" && ADDED_ROUTES.includes(name));
    const lateShare = late.filter(({ isServed }) => isServed).length / late.length;
    ADDED_ROUTES.forEach(name => shareOf("after", name));
    const runs = bookingWorkers.map(worker => `${worker.id} has run ${worker.arrivals.length}`);
    deployment.record(`${runs.join(", ")}; all of them run and are in the store`);
    return late.length >= LEAST_REQUESTS && lateShare < LEAST_SHARE * firstShare
        ? `CONFIG: ${late.length} requests on routes that were added later, ${lateShare.toFixed(3)} of them served; `
            + `${firstShare.toFixed(3)} of those on the first routes`
        : undefined;
});
