/** Selects the server that runs a suspect alone. */
import * as rendezvous from "../core/rendezvous.js";
import type * as types from "./types.js";

/**
 * Ranks the servers for the trial of a suspect. `servers` are the live ones, without those that failed this request;
 * servers that only lost the connection are included (`disconnected` in the plan of an attempt).
 *
 * All entries choose the first live server of the ranking, so copies of a suspect from several entries reach the same
 * agent, which runs one trial at a time. Servers that crashed with the request rank last, because they are restarting
 * and a trial must not depend on them.
 */
export function rank<Server extends rendezvous.Node>(
    fingerprint: string,
    suspect: types.Suspect | undefined,
    servers: readonly Server[],
): readonly Server[] {
    const crashed = new Set(suspect?.servers ?? []);
    const ranked = rendezvous.rank(`trial\u0000${fingerprint}`, servers);
    return [...ranked.filter(server => !crashed.has(server.id)), ...ranked.filter(server => crashed.has(server.id))];
}
