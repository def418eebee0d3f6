/** `ibisstep placement`: shows where a call would be placed now, and why, without sending it. */
import type * as previews from "../../forwarding/placement-preview.js";
import * as jsonClient from "../../http/json-client.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import type * as types from "../types.js";

const TIMEOUT_MS = 2000;
const HTTP_OK = 200;

export const command: types.Command = {
    help: `
Usage
  $ ibisstep placement ENTRY --host HOST --path PATH [options]

Asks an entry where it would place a call at this moment. Nothing is sent to a backend server, and no customer is charged.
ENTRY is the metrics address of the entry, IP:PORT. Servers are listed from the lowest cost to the highest, those that do
not get the call last, with the reason. An entry compares some of them for each call, so that another call like this one
may go to the next ones.

Options
  --host HOST              host of the call
  --path PATH              path of the call (default /)
  --customer NAME          customer whose key the call carries
  --model MODEL            model of the call
  --tokens PROMPT,OUTPUT   token counts
  --parts ID:TOKENS,...    parts of the prompt; the last one is unique to the call
  --call-id ID             id of the call, which decides between the services of a split route
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: {
        ...flags.json,
        host: { type: "string" },
        path: { type: "string" },
        customer: { type: "string" },
        model: { type: "string" },
        tokens: { type: "string" },
        parts: { type: "string" },
        callId: { type: "string" },
    },
    run: async invocation => {
        const [address] = invocation.input;
        const { host } = invocation.flags;
        if (address === undefined || host === undefined) {
            invocation.terminal.warn("usage: ibisstep placement ENTRY --host HOST --path PATH");
            return exitCodes.USAGE_ERROR;
        }
        const result = await jsonClient.send({
            method: "GET",
            address,
            path: `/placement?${queryOf(invocation.flags)}`,
            timeoutMs: TIMEOUT_MS,
        });
        if (result.kind !== "response" || result.status !== HTTP_OK || result.body === undefined) {
            const detail = result.kind === "response" ? `status ${result.status}` : result.reason;
            return output.printFailure(invocation, { kind: "no-process-answered", detail: `${address}: ${detail}` });
        }
        const preview = result.body as previews.Preview;
        output.printResult(invocation, { preview }, describe(preview));
        return exitCodes.SUCCESS;
    },
};

function queryOf({ host, path, customer, model, tokens, parts, callId }: types.Flags): string {
    const query = new URLSearchParams();
    for (const [name, value] of Object.entries({ host, path, customer, model, tokens, parts, id: callId })) {
        if (value !== undefined) {
            query.set(name, value);
        }
    }
    return query.toString();
}

function describe(preview: previews.Preview): readonly string[] {
    if (preview.kind === "refused") {
        return [`refused: ${preview.reason}`];
    }
    const { route, service, priority, waiting, promptKind, servers } = preview;
    const first = servers.find(({ excludedBy }) => excludedBy === undefined);
    const kind = promptKind === undefined ? "" : `, ${promptKind} prompt`;
    const rows = servers.map(server => [
        server.server,
        server.dataCentre,
        server.excludedBy ?? `${server.costMs} ms`,
        String(server.calls),
        String(server.pendingPromptTokens),
        server.weightsVersion === undefined ? "-" : String(server.weightsVersion),
        [
            server.isPreferred ? "preferred" : "",
            server.isCold ? "cold" : "",
            server.pace === 1 ? "" : `pace ${server.pace}`,
        ].filter(note => note !== "").join(", "),
    ]);
    return [
        `route ${route}, service ${service}, priority ${priority}${kind}, ${waiting} calls waiting`,
        first === undefined ? "waits: no server takes the call now" : `goes to ${first.server}`,
        ...output.formatTable([
            ["server", "data centre", "cost", "calls", "queued tokens", "weights", "notes"],
            ...rows,
        ]),
    ];
}
