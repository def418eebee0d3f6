/** Completions of the engine stand-in: each token is a deterministic function of the prompt and the token position. */
import * as crypto from "node:crypto";

export const TOKEN_BYTES = 4;
const STOP_MARKER = /\[\[stop:(\d+)\]\]/;
const CRASH_MARKER = /\[\[crash(?::(\d+))?\]\]/;

/** Token at a position, `TOKEN_BYTES` long. */
export function token(prompt: string, index: number): string {
    const digest = crypto.createHash("sha256").update(prompt).update(`\n${index}`).digest("hex");
    return `${digest.slice(0, TOKEN_BYTES - 1)} `;
}

/** First `count` tokens of the completion of a prompt. */
export function tokens(prompt: string, count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => token(prompt, index));
}

/** Number of tokens of the completion: the limit, or N if the prompt contains `[[stop:N]]` and N is less. */
export function tokenCount(prompt: string, maxTokens: number): number {
    return Math.min(maxTokens, Number(STOP_MARKER.exec(prompt)?.[1] ?? maxTokens));
}

/** Token position at which the engine crashes if the prompt contains `[[crash]]` (position 0) or `[[crash:N]]`. */
export function crashIndex(prompt: string): number | undefined {
    const match = CRASH_MARKER.exec(prompt);
    return match ? Number(match[1] ?? 0) : undefined;
}
