/** Parsing of OpenAI chat completion requests and their canonical form as a prompt. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";

/** Tokens of an answer when the request names no limit. */
const DEFAULT_MAX_TOKENS = 1024;
const ISSUE_LIMIT = 5;

const textPart = zod.object({ type: zod.literal("text", "only text parts are supported"), text: zod.string() });

const message = zod.object({
    role: zod.enum(["system", "developer", "user", "assistant", "tool"]),
    content: zod.union([zod.string(), zod.array(textPart)], "expected a string or an array of text parts"),
    name: zod.string().regex(/^[A-Za-z0-9_-]{1,64}$/, "expected at most 64 letters, digits, '_' or '-'").optional(),
});

const limit = zod.int().positive().optional();

const schema = zod.object({
    model: zod.string().min(1),
    messages: zod.array(message).min(1, "expected at least one message"),
    stream: zod.boolean().default(false),
    max_tokens: limit,
    max_completion_tokens: limit,
    // Answering with one choice where several were requested would be a wrong answer.
    n: zod.literal(1, "only one choice is supported").optional(),
});

export interface Message {
    readonly role: "system" | "developer" | "user" | "assistant" | "tool";
    readonly content: string;
    readonly name?: string;
}

export interface ChatRequest {
    readonly model: string;
    readonly messages: readonly Message[];
    readonly stream: boolean;
    readonly maxTokens: number;
}

/** Reads the body of a request. Fails with `chat-request-invalid`, which names the fields but not their values. */
export function parse(body: unknown): outcomes.Outcome<ChatRequest> {
    const result = schema.safeParse(body);
    if (!result.success) {
        const described = result.error.issues.slice(0, ISSUE_LIMIT).map(issue => {
            const path = issue.path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
            return `${path === "" ? "(body)" : path.replace(/^\./, "")}: ${issue.message}`;
        });
        return outcomes.fail("chat-request-invalid", described.join("; "));
    }
    const { model, messages, stream, max_tokens: old, max_completion_tokens: current } = result.data;
    return outcomes.succeed({
        model,
        stream,
        messages: messages.map(({ role, content, name }) => ({ role, content: textOf(content), name })),
        maxTokens: current ?? old ?? DEFAULT_MAX_TOKENS,
    });
}

/**
 * Canonical prompt of the messages. A shared beginning of messages, also within a message, is a shared beginning of
 * the prompt, and different messages have different prompts: text that looks like a delimiter is escaped.
 */
export function prompt(messages: readonly Message[]): string {
    const turns = messages.map(item => `${header(item.role, item.name)}${escape(item.content)}<|end|>\n`);
    return turns.join("") + header("assistant");
}

function textOf(content: string | readonly { readonly text: string; }[]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}

function header(role: string, name?: string): string {
    return name === undefined ? `<|${role}|>\n` : `<|${role}:${name}|>\n`;
}

/** Puts a backslash before each "|" that follows "<" and any number of backslashes. */
function escape(text: string): string {
    return text.replaceAll(/(<\\*)\|/g, "$1\\|");
}
