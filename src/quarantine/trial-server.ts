/** Selects the server that runs a suspect alone. */
import * as rendezvous from "../core/rendezvous.js";
import type * as types from "./types.js";

/**
 * Order of the servers for the trial of a suspect. `servers` are the live ones without those that failed this request;
 * servers whose connection merely broke stay in the list (`disconnected` in the plan of an attempt).
 *
 * All entries take the first live one, so copies of a suspect that come through several entries meet at one agent,
 * which runs one trial at a time. Servers that crashed with the request come last: they are starting, and no trial
 * may depend on them.
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
