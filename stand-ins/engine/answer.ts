/** The answers of the engine: a deterministic function of the prompt and the position of the token. */
import * as crypto from "node:crypto";

export const TOKEN_BYTES = 4;
const STOP_MARKER = /\[\[stop:(\d+)\]\]/;
const CRASH_MARKER = /\[\[crash(?::(\d+))?\]\]/;

/** Token at a position, 4 bytes long. */
export function token(prompt: string, index: number): string {
    const digest = crypto.createHash("sha256").update(prompt).update(`\n${index}`).digest("hex");
    return `${digest.slice(0, TOKEN_BYTES - 1)} `;
}

/** The first tokens of the answer to a prompt. */
export function tokens(prompt: string, count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => token(prompt, index));
}

/** Length of the whole answer; the marker `[[stop:N]]` in the prompt ends it before the limit. */
export function length(prompt: string, maxTokens: number): number {
    return Math.min(maxTokens, Number(STOP_MARKER.exec(prompt)?.[1] ?? maxTokens));
}

/** Position at which the marker `[[crash]]` or `[[crash:N]]` in the prompt ends the process; undefined without one. */
export function crashIndex(prompt: string): number | undefined {
    const match = CRASH_MARKER.exec(prompt);
    return match ? Number(match[1] ?? 0) : undefined;
}
