/** Flags that several commands share, with their help texts. */

export const json = { json: { type: "boolean", default: false } } as const;

export const objectApi = { objectApi: { type: "string" } } as const;

export const processes = {
    seed: { type: "string", isMultiple: true },
    instanceList: { type: "string" },
    timeoutMs: { type: "number", default: 10_000 },
} as const;

export const PROCESS_HELP = `  --seed IP:PORT       RPC address of a process; can be repeated
  --instance-list URL  instance list of the platform, instead of or in addition to --seed
  --timeout-ms N       longest wait in milliseconds (default 10000)`;

export const OBJECT_API_HELP = "  --object-api URL     object API of the platform; required";

export const JSON_HELP = "  --json               print one JSON object";
